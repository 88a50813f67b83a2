//! Account lines are summed correctly among other log lines, and invalid ones are rejected.

use proptest::prelude::*;
use rushquay_fleet_stats::{Account, Kind, Sum};

fn accounts() -> impl Strategy<Value = Vec<(u64, Vec<(usize, u64)>)>> {
    let counts = prop::collection::vec((0..Kind::ALL.len(), 0u64..1000), 0..12);
    prop::collection::vec((0u64..20, counts), 0..30)
}

proptest! {
    #[test]
    fn sums_equal_the_counts_written_by_all_proxies(written in accounts()) {
        let mut sum = Sum::default();
        let mut expected = vec![[0u64; 20]; Kind::ALL.len()];
        for (second, counts) in &written {
            let mut account = Account::default();
            for (kind, many) in counts {
                account.add(Kind::ALL[*kind], *many);
                expected[*kind][*second as usize] += many;
            }
            sum.take(&format!("12.345 rushquay: {}", account.line(*second))).expect("an account line");
            sum.take("12.345 rushquay: discovery at 127.0.0.1:1: answered 503 (failure 1)")
                .expect("a line of another component");
        }
        for (kind, seconds) in Kind::ALL.iter().zip(&expected) {
            prop_assert_eq!(sum.total(*kind), seconds.iter().sum::<u64>());
            prop_assert_eq!(sum.peak(*kind), seconds.iter().copied().max().unwrap_or(0));
        }
    }
}

#[test]
fn an_invalid_line_is_rejected_as_a_whole() {
    let mut sum = Sum::default();
    for invalid in
        ["account at=1 arrival=x", "account arrival=3", "account at=1 nonsense=3", "account at=1 arrival"]
    {
        assert!(sum.take(invalid).is_err(), "{invalid}");
    }
    assert_eq!(sum.total(Kind::Arrival), 0);
    assert_eq!(sum.table(5), "");
}

#[test]
fn the_table_has_intervals_and_only_non_zero_kinds() {
    let mut sum = Sum::default();
    for line in ["account at=100 list.whole=2", "account at=104 list.whole=1", "account at=106 list.whole=4"]
    {
        sum.take(line).expect("an account line");
    }
    let table = sum.table(5);
    assert_eq!(table.lines().count(), 3, "{table}");
    assert_eq!(table.lines().last(), Some("| list.whole | 7 | 4 | 3 | 4 |"));
}
