use super::*;

#[test]
fn input_read_right_after_a_pause_may_have_arrived_at_its_start() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    assert_eq!(earliest_arrival(at(0)), at(0), "no tick was recorded");
    [0, 25, 51].into_iter().for_each(|ms| record_tick(at(ms)));
    assert_eq!(earliest_arrival(at(52)), at(52));
    // A pause from 51 to 500, queried before and after the tick that detects it.
    assert_eq!(earliest_arrival(at(500)), at(51));
    record_tick(at(500));
    assert_eq!(earliest_arrival(at(503)), at(51));
    assert_eq!(earliest_arrival(at(511)), at(511));
    record_tick(at(525));
    assert_eq!(earliest_arrival(at(540)), at(540));
}
