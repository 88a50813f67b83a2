use super::*;

#[test]
fn the_earliest_comes_first_and_of_one_moment_the_first_that_was_put_in() {
    let mut t = Timeline::default();
    for (at, what) in [(5, 'c'), (2, 'a'), (5, 'd'), (2, 'b')] {
        t.put(at, what);
    }
    assert_eq!(t.take(1), None);
    let all: Vec<_> = std::iter::from_fn(|| t.take(9)).collect();
    assert_eq!(all, [(2, 'a'), (2, 'b'), (5, 'c'), (5, 'd')]);
    t.put(3, 'e');
    assert_eq!(t.take(9), Some((5, 'e')), "the past is over");
}
