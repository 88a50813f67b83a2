use super::*;

#[test]
fn what_is_read_right_behind_a_stall_may_have_come_when_it_began() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    assert_eq!(earliest(at(0)), at(0), "nothing is known");
    [0, 25, 51].into_iter().for_each(|ms| ran(at(ms)));
    assert_eq!(earliest(at(52)), at(52));
    // It stands still from 51 to 500: before and behind the tick that shows it.
    assert_eq!(earliest(at(500)), at(51));
    ran(at(500));
    assert_eq!(earliest(at(503)), at(51));
    assert_eq!(earliest(at(511)), at(511));
    ran(at(525));
    assert_eq!(earliest(at(540)), at(540));
}
