//! Which fields a policy has, and in what order each is looser or stricter.

/// The order of a field's values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Order {
    /// A smaller number is stricter.
    Least,
    /// A larger number is stricter.
    Most,
    /// `false` is stricter.
    Never,
    /// A set: fewer is stricter; left out: all that there are.
    Subset,
    /// One of these words; a later one is stricter.
    Rank(&'static [&'static str]),
    /// None: two values have nothing in common. It can be changed by a stop alone.
    None,
}

/// Fields of a class, of `categories[]` in a proxy's settings.
const CLASS: [(&str, Order); 9] = [
    // Until when an answer is worth most, and until when anything at all: who goes by less gives up sooner.
    ("promise_ns", Order::Least),
    ("deadline_ns", Order::Least),
    // What a repeat may do: one that is taken for unsafe is never sent twice.
    ("effect", Order::Rank(&["safe", "keyed", "unsafe"])),
    // Which nodes remember a keyed request: the fewer, the fewer repeats are lawful.
    ("group", Order::Rank(&["all", "zone", "cell"])),
    ("dedup_window_ns", Order::Least),
    // What is worth less is refused sooner.
    ("late_value", Order::Least),
    ("value", Order::Least),
    ("allowed_in", Order::Subset),
    ("allowed_on", Order::Subset),
];

/// Fields of a tenant, of `customers[]`.
const TENANT: [(&str, Order); 2] = [("quota_rps", Order::Least), ("fraction", Order::Least)];

/// Fields elsewhere, by their path.
const REST: [(&str, Order); 7] = [
    ("caps.attempts_cap", Order::Least),
    ("caps.second_copies", Order::Never),
    // Advice to stay away for longer.
    ("caps.max_retry_after_ns", Order::Most),
    ("deductions.handshake", Order::Most),
    ("deductions.cross_zone", Order::Most),
    ("over_share_worth", Order::Least),
    // By the request or by its time: what is worth more by the one is worth less by the other.
    ("worth_by", Order::None),
];

/// The order of a field, by its path in a proxy's settings, without numbers: `categories.allowed_in`, `customers.quota_rps`,
/// `caps.attempts_cap`. What is not listed has none.
pub fn order(path: &str) -> Order {
    let of = |table: &[(&str, Order)], field: &str| {
        table.iter().find(|(name, _)| *name == field).map_or(Order::None, |(_, order)| *order)
    };
    match path.split_once('.') {
        Some(("categories", field)) => of(&CLASS, field),
        Some(("customers", field)) => of(&TENANT, field),
        _ => of(&REST, path),
    }
}

impl Order {
    /// Whether one value is stricter than another, or as strict; `None`: they can't be compared, or are no values of such a field.
    /// `Value::Null` stands for a field that is left out.
    pub fn strict(self, one: &serde_json::Value, than: &serde_json::Value) -> Option<bool> {
        use serde_json::Value::Null;
        if one == than {
            return Some(true);
        }
        match self {
            Order::Least | Order::Most => {
                // Left out, there is no bound.
                let (a, b) = match (one, than) {
                    (Null, _) => return Some(false),
                    (_, Null) => return Some(true),
                    _ => (one.as_f64()?, than.as_f64()?),
                };
                Some(if self == Order::Least { a <= b } else { a >= b })
            }
            Order::Never => match (one, than) {
                (Null, _) => Some(false),
                (_, Null) => Some(true),
                _ => Some(!one.as_bool()? || than.as_bool()?),
            },
            Order::Subset => match (one, than) {
                (_, Null) => Some(true),
                (Null, _) => Some(false),
                _ => {
                    let than = than.as_array()?;
                    Some(one.as_array()?.iter().all(|v| than.contains(v)))
                }
            },
            Order::Rank(words) => {
                let rank = |v: &serde_json::Value| words.iter().position(|w| Some(*w) == v.as_str());
                Some(rank(one)? >= rank(than)?)
            }
            Order::None => None,
        }
    }
}
