//! The intersection of two policies: settings that comply with both, field by field.

use crate::strictness::{strictness_of_field, Strictness};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// The requests that are rejected until the pending change ends, because the two policies have nothing in common in a field.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RejectedClass {
    /// The request class that is rejected; `None` if every request is.
    pub class: Option<String>,
    /// Path of the field.
    pub path: String,
}

impl std::fmt::Display for RejectedClass {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let class = self.class.as_deref().unwrap_or("every class");
        write!(f, "{class} is refused until it is decided: the two have nothing in common in {}", self.path)
    }
}

/// The intersection of two policies.
#[derive(Clone, Debug, PartialEq)]
pub struct Intersection {
    /// The settings to apply, with the tenants in the order of their names.
    pub settings: Value,
    /// The request classes that the proxy rejects.
    pub rejected_classes: BTreeSet<RejectedClass>,
}

/// The stricter of two values or, for sets, their intersection; `None` if they have nothing in common.
fn stricter(order: Strictness, a: &Value, b: &Value) -> Option<Value> {
    if a == b {
        return Some(a.clone());
    }
    if let (Strictness::Subset, Some(one), Some(two)) = (order, a.as_array(), b.as_array()) {
        let common: Vec<Value> = one.iter().filter(|v| two.contains(v)).cloned().collect();
        return (!common.is_empty()).then(|| Value::Array(canonical_set(common)));
    }
    match (order.is_at_least_as_strict(a, b), order.is_at_least_as_strict(b, a)) {
        (Some(true), _) => Some(a.clone()),
        (_, Some(true)) => Some(b.clone()),
        _ => None,
    }
}

/// One of two values, chosen independently of the order of the arguments.
fn either_value(one: Value, two: Value) -> Value {
    let texts = [one.to_string(), two.to_string()];
    if texts[0] <= texts[1] {
        one
    } else {
        two
    }
}

/// The elements of a set without duplicates, in a canonical order.
fn canonical_set(mut set: Vec<Value>) -> Vec<Value> {
    set.sort_by_key(Value::to_string);
    set.dedup();
    set
}

/// The canonical form of a value: [`canonical_set`] for a set, unchanged otherwise.
fn canonical(order: Strictness, value: &Value) -> Value {
    match (order, value) {
        (Strictness::Subset, Value::Array(set)) => Value::Array(canonical_set(set.clone())),
        _ => value.clone(),
    }
}

struct IntersectionBuilder {
    stops: BTreeSet<RejectedClass>,
}

impl IntersectionBuilder {
    /// Intersects two objects field by field, recursively. `path` is the path of both objects, without indices; `class` is the name of the
    /// class that they belong to, empty for tenants.
    fn objects(&mut self, path: &str, class: Option<&str>, a: &Value, b: &Value) -> Value {
        let empty = Map::new();
        let (a, b) = (a.as_object().unwrap_or(&empty), b.as_object().unwrap_or(&empty));
        let names: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
        let mut merged = Map::new();
        for name in names {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            let (one, two) = (a.get(name).unwrap_or(&Value::Null), b.get(name).unwrap_or(&Value::Null));
            if let (Some("categories" | "customers"), None) = (Some(path.as_str()), class) {
                continue;
            }
            let value = if one.is_object() && two.is_object() {
                self.objects(&path, class, one, two)
            } else {
                let order = strictness_of_field(&path);
                let (one, two) = (canonical(order, one), canonical(order, two));
                stricter(order, &one, &two).unwrap_or_else(|| {
                    self.stops.insert(RejectedClass { class: class.map(str::to_owned), path });
                    // The requests that would use the value are rejected, but the result must not depend on the order of the policies.
                    either_value(one, two)
                })
            };
            if !value.is_null() {
                merged.insert(name.clone(), value);
            }
        }
        Value::Object(merged)
    }

    /// Intersects the lists of request classes. Both must have the same classes in the same order; otherwise every request is rejected.
    fn classes(&mut self, a: &Value, b: &Value) -> Value {
        let name = |c: &Value| c["name"].as_str().unwrap_or("").to_owned();
        let list = |v: &Value| v.as_array().cloned().unwrap_or_default();
        let (one, two) = (list(a), list(b));
        if one.iter().map(name).ne(two.iter().map(name)) {
            self.stops.insert(RejectedClass { class: None, path: "categories".into() });
            return either_value(a.clone(), b.clone());
        }
        let pairs = one.iter().zip(&two);
        let merged = pairs.map(|(a, b)| self.objects("categories", Some(&name(a)), a, b));
        Value::Array(merged.collect())
    }

    /// Intersects the lists of tenants by name. A tenant that only one policy limits is limited.
    fn tenants(&mut self, a: &Value, b: &Value) -> Value {
        let by_name = |v: &Value| -> BTreeMap<String, Value> {
            let all = v.as_array().cloned().unwrap_or_default();
            all.into_iter().map(|t| (t["name"].as_str().unwrap_or("").to_owned(), t)).collect()
        };
        let (a, b) = (by_name(a), by_name(b));
        let names: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
        let tenant = |name: &String| match (a.get(name), b.get(name)) {
            (Some(a), Some(b)) => self.objects("customers", Some(""), a, b),
            (one, two) => one.or(two).cloned().unwrap_or_default(),
        };
        Value::Array(names.into_iter().map(tenant).collect())
    }
}

/// Intersects two policies, each given as the complete settings of a proxy. The operation is commutative and idempotent, and except for
/// the fields of rejected requests the result is nowhere looser than either policy.
pub fn intersect(a: &Value, b: &Value) -> Intersection {
    let mut builder = IntersectionBuilder { stops: BTreeSet::new() };
    let mut settings = builder.objects("", None, a, b);
    if !(a["categories"].is_null() && b["categories"].is_null()) {
        settings["categories"] = builder.classes(&a["categories"], &b["categories"]);
    }
    if !(a["customers"].is_null() && b["customers"].is_null()) {
        settings["customers"] = builder.tenants(&a["customers"], &b["customers"]);
    }
    // A tenant belongs to no class: if its limits in the two policies have nothing in common, every request is rejected.
    let without_empty_class = |rejected: RejectedClass| RejectedClass {
        class: rejected.class.filter(|c| !c.is_empty()),
        ..rejected
    };
    Intersection { settings, rejected_classes: builder.stops.into_iter().map(without_empty_class).collect() }
}

/// The paths of fields in which `one` is looser than `than`, or incomparable with it.
pub fn looser_paths(one: &Value, than: &Value) -> Vec<String> {
    let mut looser = Vec::new();
    compare_fields("", one, than, &mut looser);
    looser
}

/// Appends the paths of the fields in which `one` is looser than `than` to `looser`, recursively.
fn compare_fields(path: &str, one: &Value, than: &Value, looser: &mut Vec<String>) {
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
                        Some(one) => compare_fields(&path, one, &than, looser),
                        None => looser.push(format!("{path}[{}]", than["name"])),
                    }
                }
            }
            (_, Value::Object(_), Value::Object(_)) => compare_fields(&path, one, than, looser),
            // An absent object is treated as an object without fields.
            (_, Value::Object(_), Value::Null) => compare_fields(&path, one, &Map::new().into(), looser),
            (_, Value::Null, Value::Object(_)) => compare_fields(&path, &Map::new().into(), than, looser),
            (_, one, than) if strictness_of_field(&path).is_at_least_as_strict(one, than) != Some(true) => {
                looser.push(path);
            }
            _ => {}
        }
    }
}
