//! Which fields a policy has, and in what order each is looser or stricter.

/// The order of a field's values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strictness {
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
const CLASS: [(&str, Strictness); 9] = [
    // Until when an answer is worth most, and until when anything at all: who goes by less gives up sooner.
    ("promise_ns", Strictness::Least),
    ("deadline_ns", Strictness::Least),
    // What a repeat may do: one that is taken for unsafe is never sent twice.
    ("effect", Strictness::Rank(&["safe", "keyed", "unsafe"])),
    // Which nodes remember a keyed request: the fewer, the fewer repeats are lawful.
    ("group", Strictness::Rank(&["all", "zone", "cell"])),
    ("dedup_window_ns", Strictness::Least),
    // What is worth less is refused sooner.
    ("late_value", Strictness::Least),
    ("value", Strictness::Least),
    ("allowed_in", Strictness::Subset),
    ("allowed_on", Strictness::Subset),
];

/// Fields of a tenant, of `customers[]`.
const TENANT: [(&str, Strictness); 2] = [("quota_rps", Strictness::Least), ("fraction", Strictness::Least)];

/// Fields elsewhere, by their path.
const REST: [(&str, Strictness); 7] = [
    ("caps.attempts_cap", Strictness::Least),
    ("caps.second_copies", Strictness::Never),
    // Advice to stay away for longer.
    ("caps.max_retry_after_ns", Strictness::Most),
    ("deductions.handshake", Strictness::Most),
    ("deductions.cross_zone", Strictness::Most),
    ("over_share_worth", Strictness::Least),
    // By the request or by its time: what is worth more by the one is worth less by the other.
    ("worth_by", Strictness::None),
];

/// The order of a field, by its path in a proxy's settings, without numbers: `categories.allowed_in`, `customers.quota_rps`,
/// `caps.attempts_cap`. What is not listed has none.
pub fn compare_strictness(path: &str) -> Strictness {
    let of = |table: &[(&str, Strictness)], field: &str| {
        table.iter().find(|(name, _)| *name == field).map_or(Strictness::None, |(_, order)| *order)
    };
    match path.split_once('.') {
        Some(("categories", field)) => of(&CLASS, field),
        Some(("customers", field)) => of(&TENANT, field),
        _ => of(&REST, path),
    }
}

impl Strictness {
    /// Whether one value is stricter than another, or as strict; `None`: they can't be compared, or are no values of such a field.
    /// `Value::Null` stands for a field that is left out.
    pub fn strict(self, one: &serde_json::Value, than: &serde_json::Value) -> Option<bool> {
        use serde_json::Value::Null;
        if one == than {
            return Some(true);
        }
        match self {
            Strictness::Least | Strictness::Most => {
                // Left out, there is no bound.
                let (a, b) = match (one, than) {
                    (Null, _) => return Some(false),
                    (_, Null) => return Some(true),
                    _ => (one.as_f64()?, than.as_f64()?),
                };
                Some(if self == Strictness::Least { a <= b } else { a >= b })
            }
            Strictness::Never => match (one, than) {
                (Null, _) => Some(false),
                (_, Null) => Some(true),
                _ => Some(!one.as_bool()? || than.as_bool()?),
            },
            Strictness::Subset => match (one, than) {
                (_, Null) => Some(true),
                (Null, _) => Some(false),
                _ => {
                    let than = than.as_array()?;
                    Some(one.as_array()?.iter().all(|v| than.contains(v)))
                }
            },
            Strictness::Rank(words) => {
                let rank = |v: &serde_json::Value| words.iter().position(|w| Some(*w) == v.as_str());
                Some(rank(one)? >= rank(than)?)
            }
            Strictness::None => None,
        }
    }
}
