//! Config versions: settings that are rolled out over a fleet. The crate does no I/O.
//!
//! A [`ConfigVersion`] is a validated document that a proxy applies over the settings of its own file. It is identified by the digest of
//! its content. A [`ConfigAssignment`] tells one proxy which version to apply.
//!
//! A version may also name the program to run, by the digest of the program's file. The supervisor reads that field; it is not among the
//! settings that a proxy applies.
//!
//! All other fields can be changed at once while requests are in progress (`docs/design-rollout.md`): the terms of request classes,
//! tenants and their shares, the retry delay advised to clients, the number of attempts, and cost deductions. Which classes, data centres
//! and machine kinds exist, and the identity of a proxy, are set in the proxy's own file alone.
#![forbid(unsafe_code)]

mod assignment;
mod check;
mod digest;

pub use assignment::{AssignmentError, ConfigAssignment, FORMAT_VERSION};
pub use check::FieldError;
pub use digest::{Digest, ParseDigestError};

use serde_json::{Map, Value};

/// Maximum length of a document, in bytes of JSON.
pub const MAX_DOCUMENT_BYTES: usize = 48 << 10;

/// The field that names a program.
const PROGRAM: &str = "program";

/// Validated settings to apply over a proxy's own.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigVersion {
    digest: Digest,
    document: Map<String, Value>,
}

impl ConfigVersion {
    /// The empty version, with which each proxy applies its own file unchanged.
    pub fn base() -> Self {
        Self::of(Map::new())
    }

    fn of(document: Map<String, Value>) -> Self {
        let digest = Digest::of(canonical(&Value::Object(document.clone())).as_bytes());
        ConfigVersion { digest, document }
    }

    /// Validates a document.
    ///
    /// # Errors
    /// The path of the first invalid field, and what was expected there.
    pub fn read(document: &Value) -> Result<Self, FieldError> {
        let length = document.to_string().len();
        if length > MAX_DOCUMENT_BYTES {
            return Err(FieldError::at("", format!("{MAX_DOCUMENT_BYTES} bytes at most, not {length}")));
        }
        let object = document.as_object().ok_or_else(|| FieldError::at("", "an object of settings"))?;
        check::check(object)?;
        Ok(Self::of(object.clone()))
    }

    /// The digest of the content. It does not depend on the order of fields.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The document.
    pub fn document(&self) -> Value {
        Value::Object(self.document.clone())
    }

    /// The program to run; `None` for the one in each supervisor's own settings.
    pub fn program(&self) -> Option<Digest> {
        self.document.get(PROGRAM)?.as_str()?.parse().ok()
    }

    /// The same settings with this program.
    pub fn with_program(&self, program: Digest) -> Self {
        let mut document = self.document.clone();
        document.insert(PROGRAM.into(), Value::String(program.to_string()));
        Self::of(document)
    }

    /// Applies this version over a proxy's own settings. Classes are matched by name and merged field by field, objects are merged field by
    /// field, and every other value, among them the list of tenants, is replaced.
    ///
    /// # Errors
    /// The path of the name of a class that this proxy does not have.
    pub fn over(&self, own: &Value) -> Result<Value, FieldError> {
        let mut result = own.clone();
        for (name, value) in &self.document {
            match name.as_str() {
                PROGRAM => {}
                "categories" => apply_classes(&mut result["categories"], value)?,
                _ => apply(&mut result[name.as_str()], value),
            }
        }
        Ok(result)
    }
}

/// Merges objects field by field and replaces any other value.
fn apply(own: &mut Value, value: &Value) {
    match (own, value) {
        (Value::Object(own), Value::Object(value)) => {
            value.iter().for_each(|(name, v)| apply(own.entry(name.clone()).or_insert(Value::Null), v));
        }
        (own, value) => *own = value.clone(),
    }
}

fn apply_classes(own: &mut Value, value: &Value) -> Result<(), FieldError> {
    for (i, class) in value.as_array().into_iter().flatten().enumerate() {
        let name = &class["name"];
        let found = own.as_array_mut().and_then(|own| own.iter_mut().find(|c| c["name"] == *name));
        let found = found.ok_or_else(|| {
            let path = format!("categories[{i}].name");
            FieldError::at(
                path,
                format!("a class that this proxy has, not {name}; classes can be added only with a restart"),
            )
        })?;
        apply(found, class);
    }
    Ok(())
}

/// The content as canonical JSON text, with the fields of objects in the order of their names.
fn canonical(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let mut fields: Vec<_> = fields.iter().collect();
            fields.sort_by_key(|(name, _)| name.as_str());
            let fields: Vec<String> = fields
                .iter()
                .map(|(name, value)| format!("{}:{}", Value::String((*name).clone()), canonical(value)))
                .collect();
            format!("{{{}}}", fields.join(","))
        }
        Value::Array(list) => format!("[{}]", list.iter().map(canonical).collect::<Vec<_>>().join(",")),
        scalar => scalar.to_string(),
    }
}
