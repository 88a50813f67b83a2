//! What a proxy obeys between two policies: field by field what breaks neither.

use crate::strictness::{compare_strictness, Strictness};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Where two policies have nothing in common: what is asked for there is refused until the change is decided.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RejectedClass {
    /// The class that is refused; `None`: every request.
    pub class: Option<String>,
    /// The field, by its path.
    pub path: String,
}

impl std::fmt::Display for RejectedClass {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let class = self.class.as_deref().unwrap_or("every class");
        write!(f, "{class} is refused until it is decided: the two have nothing in common in {}", self.path)
    }
}

/// The meet of two policies.
#[derive(Clone, Debug, PartialEq)]
pub struct Intersection {
    /// A proxy's settings; tenants in the order of their names.
    pub settings: Value,
    /// What it refuses.
    pub stops: BTreeSet<RejectedClass>,
}

/// The stricter of two values; `None`: they have nothing in common.
fn stricter(order: Strictness, a: &Value, b: &Value) -> Option<Value> {
    if a == b {
        return Some(a.clone());
    }
    if let (Strictness::Subset, Some(one), Some(two)) = (order, a.as_array(), b.as_array()) {
        let both: Vec<Value> = one.iter().filter(|v| two.contains(v)).cloned().collect();
        return (!both.is_empty()).then(|| Value::Array(sorted(both)));
    }
    match (order.strict(a, b), order.strict(b, a)) {
        (Some(true), _) => Some(a.clone()),
        (_, Some(true)) => Some(b.clone()),
        _ => None,
    }
}

/// One of two, the same whichever is named first.
fn either(one: Value, two: Value) -> Value {
    let texts = [one.to_string(), two.to_string()];
    if texts[0] <= texts[1] {
        one
    } else {
        two
    }
}

/// Members of a set, each once, in an order that is the same for the same set.
fn sorted(mut set: Vec<Value>) -> Vec<Value> {
    set.sort_by_key(Value::to_string);
    set.dedup();
    set
}

/// A set as [`sorted`] has it, anything else as it is.
fn normal(order: Strictness, value: &Value) -> Value {
    match (order, value) {
        (Strictness::Subset, Value::Array(set)) => Value::Array(sorted(set.clone())),
        _ => value.clone(),
    }
}

struct Meeting {
    stops: BTreeSet<RejectedClass>,
}

impl Meeting {
    /// The fields of two objects; `path`: where they stand, without numbers. Fields of fields are met in turn.
    fn objects(&mut self, path: &str, class: Option<&str>, a: &Value, b: &Value) -> Value {
        let empty = Map::new();
        let (a, b) = (a.as_object().unwrap_or(&empty), b.as_object().unwrap_or(&empty));
        let names: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
        let mut met = Map::new();
        for name in names {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            let (one, two) = (a.get(name).unwrap_or(&Value::Null), b.get(name).unwrap_or(&Value::Null));
            if let (Some("categories" | "customers"), None) = (Some(path.as_str()), class) {
                continue;
            }
            let value = if one.is_object() && two.is_object() {
                self.objects(&path, class, one, two)
            } else {
                let order = compare_strictness(&path);
                let (one, two) = (normal(order, one), normal(order, two));
                stricter(order, &one, &two).unwrap_or_else(|| {
                    self.stops.insert(RejectedClass { class: class.map(str::to_owned), path });
                    // Nothing is asked for by it meanwhile; which of the two it says must not hang on their order.
                    either(one, two)
                })
            };
            if !value.is_null() {
                met.insert(name.clone(), value);
            }
        }
        Value::Object(met)
    }

    /// Classes, in the order in which the proxies have them.
    fn classes(&mut self, a: &Value, b: &Value) -> Value {
        let name = |c: &Value| c["name"].as_str().unwrap_or("").to_owned();
        let list = |v: &Value| v.as_array().cloned().unwrap_or_default();
        let (one, two) = (list(a), list(b));
        if one.iter().map(name).ne(two.iter().map(name)) {
            self.stops.insert(RejectedClass { class: None, path: "categories".into() });
            return either(a.clone(), b.clone());
        }
        let pairs = one.iter().zip(&two);
        let met = pairs.map(|(a, b)| self.objects("categories", Some(&name(a)), a, b));
        Value::Array(met.collect())
    }

    /// Tenants, by name. One that only one of the two bounds is bounded.
    fn tenants(&mut self, a: &Value, b: &Value) -> Value {
        let by_name = |v: &Value| -> BTreeMap<String, Value> {
            let all = v.as_array().cloned().unwrap_or_default();
            all.into_iter().map(|t| (t["name"].as_str().unwrap_or("").to_owned(), t)).collect()
        };
        let (a, b) = (by_name(a), by_name(b));
        let names: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
        let one = |name: &String| match (a.get(name), b.get(name)) {
            (Some(a), Some(b)) => self.objects("customers", Some(""), a, b),
            (one, two) => one.or(two).cloned().unwrap_or_default(),
        };
        Value::Array(names.into_iter().map(one).collect())
    }
}

/// What breaks neither of two policies, each a proxy's whole settings. It is the same for the two in either order, is itself for two of
/// one kind, and nowhere looser than either.
pub fn intersect(a: &Value, b: &Value) -> Intersection {
    let mut meeting = Meeting { stops: BTreeSet::new() };
    let mut settings = meeting.objects("", None, a, b);
    if !(a["categories"].is_null() && b["categories"].is_null()) {
        settings["categories"] = meeting.classes(&a["categories"], &b["categories"]);
    }
    if !(a["customers"].is_null() && b["customers"].is_null()) {
        settings["customers"] = meeting.tenants(&a["customers"], &b["customers"]);
    }
    // A tenant is of no class: where two have nothing in common in one, all is refused.
    let all = |stop: RejectedClass| RejectedClass { class: stop.class.filter(|c| !c.is_empty()), ..stop };
    Intersection { settings, stops: meeting.stops.into_iter().map(all).collect() }
}

/// The paths of fields in which `one` is looser than `than`, or can't be compared with it.
pub fn looser_paths(one: &Value, than: &Value) -> Vec<String> {
    let mut found = Vec::new();
    compare("", one, than, &mut found);
    found
}

fn compare(path: &str, one: &Value, than: &Value, found: &mut Vec<String>) {
    let (Some(a), Some(b)) = (one.as_object(), than.as_object()) else { return };
    let names: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    for name in names {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        let (one, than) = (a.get(name).unwrap_or(&Value::Null), b.get(name).unwrap_or(&Value::Null));
        match (path.as_str(), one, than) {
            ("categories" | "customers", one, than) => {
                let list = |v: &Value| v.as_array().cloned().unwrap_or_default();
                for than in list(than) {
                    match list(one).iter().find(|o| o["name"] == than["name"]) {
                        Some(one) => compare(&path, one, &than, found),
                        None => found.push(format!("{path}[{}]", than["name"])),
                    }
                }
            }
            (_, Value::Object(_), Value::Object(_)) => compare(&path, one, than, found),
            // What is left out holds no fields.
            (_, Value::Object(_), Value::Null) => compare(&path, one, &Map::new().into(), found),
            (_, Value::Null, Value::Object(_)) => compare(&path, &Map::new().into(), than, found),
            (_, one, than) if compare_strictness(&path).strict(one, than) != Some(true) => found.push(path),
            _ => {}
        }
    }
}
