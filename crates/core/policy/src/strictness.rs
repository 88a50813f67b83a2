//! The strictness order of each settings field that a policy may change.

/// How the values of a field are ordered by strictness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strictness {
    /// A smaller number is stricter.
    SmallerIsStricter,
    /// A larger number is stricter.
    LargerIsStricter,
    /// `false` is stricter.
    FalseIsStricter,
    /// A set: a subset is stricter; an absent field means the full set.
    Subset,
    /// One of these values, in ascending order of strictness.
    Rank(&'static [&'static str]),
    /// No order: two different values have nothing in common. While such a field changes, the requests it concerns are rejected.
    Incomparable,
}

/// Fields of a request class, of `categories[]` in a proxy's settings.
const CLASS_FIELDS: [(&str, Strictness); 9] = [
    // Time limits of a response: with shorter limits a proxy gives up sooner.
    ("promise_ns", Strictness::SmallerIsStricter),
    ("deadline_ns", Strictness::SmallerIsStricter),
    // Whether a request may be sent again: an unsafe one is never sent twice.
    ("effect", Strictness::Rank(&["safe", "keyed", "unsafe"])),
    // The nodes that deduplicate a keyed request: the fewer these are, the fewer retries are permitted.
    ("group", Strictness::Rank(&["all", "zone", "cell"])),
    ("dedup_window_ns", Strictness::SmallerIsStricter),
    // Requests of lower value are rejected sooner.
    ("late_value", Strictness::SmallerIsStricter),
    ("value", Strictness::SmallerIsStricter),
    ("allowed_in", Strictness::Subset),
    ("allowed_on", Strictness::Subset),
];

/// Fields of a tenant, of `customers[]`.
const TENANT_FIELDS: [(&str, Strictness); 2] =
    [("quota_rps", Strictness::SmallerIsStricter), ("fraction", Strictness::SmallerIsStricter)];

/// All other fields, by their path.
const OTHER_FIELDS: [(&str, Strictness); 7] = [
    ("caps.attempts_cap", Strictness::SmallerIsStricter),
    ("caps.second_copies", Strictness::FalseIsStricter),
    // A longer wait that clients are advised to keep is stricter.
    ("caps.max_retry_after_ns", Strictness::LargerIsStricter),
    ("deductions.handshake", Strictness::LargerIsStricter),
    ("deductions.cross_zone", Strictness::LargerIsStricter),
    ("over_share_worth", Strictness::SmallerIsStricter),
    // Whether value counts per request or per unit of work: a higher value by one measure may be a lower one by the other.
    ("worth_by", Strictness::Incomparable),
];

/// The strictness order of a field. `path` is the field's path in a proxy's settings without indices, for example
/// `categories.allowed_in`, `customers.quota_rps` or `caps.attempts_cap`. Unlisted fields are incomparable.
pub fn strictness_of_field(path: &str) -> Strictness {
    let lookup = |table: &[(&str, Strictness)], field: &str| {
        table.iter().find(|(name, _)| *name == field).map_or(Strictness::Incomparable, |(_, order)| *order)
    };
    match path.split_once('.') {
        Some(("categories", field)) => lookup(&CLASS_FIELDS, field),
        Some(("customers", field)) => lookup(&TENANT_FIELDS, field),
        _ => lookup(&OTHER_FIELDS, path),
    }
}

impl Strictness {
    /// Whether `one` is at least as strict as `than`; `None` if they are incomparable or not valid values of the field.
    /// `Value::Null` means that the field is absent.
    pub fn is_at_least_as_strict(self, one: &serde_json::Value, than: &serde_json::Value) -> Option<bool> {
        use serde_json::Value::Null;
        if one == than {
            return Some(true);
        }
        match self {
            Strictness::SmallerIsStricter | Strictness::LargerIsStricter => {
                // An absent field means that there is no bound.
                let (a, b) = match (one, than) {
                    (Null, _) => return Some(false),
                    (_, Null) => return Some(true),
                    _ => (one.as_f64()?, than.as_f64()?),
                };
                Some(if self == Strictness::SmallerIsStricter { a <= b } else { a >= b })
            }
            Strictness::FalseIsStricter => match (one, than) {
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
            Strictness::Rank(ranking) => {
                let rank = |v: &serde_json::Value| ranking.iter().position(|w| Some(*w) == v.as_str());
                Some(rank(one)? >= rank(than)?)
            }
            Strictness::Incomparable => None,
        }
    }
}
