//! What proxies write comes back in the sum, whatever else stands in their logs.

use proptest::prelude::*;
use rushquay_fleet_stats::{Account, Kind, Sum};

fn accounts() -> impl Strategy<Value = Vec<(u64, Vec<(usize, u64)>)>> {
    let counts = prop::collection::vec((0..Kind::ALL.len(), 0u64..1000), 0..12);
    prop::collection::vec((0u64..20, counts), 0..30)
}

proptest! {
    #[test]
    fn the_sum_is_what_was_counted(written in accounts()) {
        let mut sum = Sum::default();
        let mut plain = vec![[0u64; 20]; Kind::ALL.len()];
        for (second, counts) in &written {
            let mut account = Account::default();
            for (kind, many) in counts {
                account.add(Kind::ALL[*kind], *many);
                plain[*kind][*second as usize] += many;
            }
            sum.take(&format!("12.345 rushquay: {}", account.line(*second))).expect("its own line");
            sum.take("12.345 rushquay: discovery at 127.0.0.1:1: answered 503 (failure 1)").expect("another's");
        }
        for (kind, seconds) in Kind::ALL.iter().zip(&plain) {
            prop_assert_eq!(sum.total(*kind), seconds.iter().sum::<u64>());
            prop_assert_eq!(sum.peak(*kind), seconds.iter().copied().max().unwrap_or(0));
        }
    }
}

#[test]
fn a_line_that_is_spoilt_is_named_and_taken_in_no_part() {
    let mut sum = Sum::default();
    for bad in
        ["account at=1 arrival=x", "account arrival=3", "account at=1 nonsense=3", "account at=1 arrival"]
    {
        assert!(sum.take(bad).is_err(), "{bad}");
    }
    assert_eq!(sum.total(Kind::Arrival), 0);
    assert_eq!(sum.table(5), "");
}

#[test]
fn the_table_has_spans_and_only_what_was_counted() {
    let mut sum = Sum::default();
    for line in ["account at=100 list.whole=2", "account at=104 list.whole=1", "account at=106 list.whole=4"]
    {
        sum.take(line).expect("a line");
    }
    let table = sum.table(5);
    assert_eq!(table.lines().count(), 3, "{table}");
    assert_eq!(table.lines().last(), Some("| list.whole | 7 | 4 | 3 | 4 |"));
}
