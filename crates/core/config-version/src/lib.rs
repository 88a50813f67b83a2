//! Config versions: settings that are rolled out over a fleet. No I/O.
//!
//! A [`ConfigVersion`] is a validated document, named by the digest of its content, that a proxy applies over the settings of its own
//! file. A [`ConfigAssignment`] gives one proxy the version that it is to apply.
//!
//! A version may also name the program to run, by the digest of its file; that is for the supervisor, and not among the settings that a
//! proxy applies.
//!
//! Otherwise a version contains only what can be changed at one moment while requests are open (`docs/design-rollout.md`): the terms of
//! request classes, tenants and their shares, advised waits, attempts, prices. Which classes, data centres and machine kinds there are,
//! and the identity of a proxy, stay as in its file.
#![forbid(unsafe_code)]

mod assignment;
mod check;
mod digest;

pub use assignment::{AssignmentError, ConfigAssignment, FORM};
pub use check::FieldError;
pub use digest::{Digest, ParseDigestError};

use serde_json::{Map, Value};

/// Maximum length of a document, in bytes of JSON.
pub const MOST: usize = 48 << 10;

/// The field that names a program.
const PROGRAM: &str = "program";

/// Validated settings to apply over a proxy's own.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigVersion {
    digest: Digest,
    document: Map<String, Value>,
}

impl ConfigVersion {
    /// The empty version: each proxy applies its own file.
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
        if length > MOST {
            return Err(FieldError::at("", format!("{MOST} bytes at most, not {length}")));
        }
        let object = document.as_object().ok_or_else(|| FieldError::at("", "an object of settings"))?;
        check::check(object)?;
        Ok(Self::of(object.clone()))
    }

    /// The digest of its content: the same for the same settings, in whatever order they are written.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The document.
    pub fn document(&self) -> Value {
        Value::Object(self.document.clone())
    }

    /// The program to run; `None`: the one in each supervisor's own settings.
    pub fn program(&self) -> Option<Digest> {
        self.document.get(PROGRAM)?.as_str()?.parse().ok()
    }

    /// The same settings with this program.
    pub fn with_program(&self, program: Digest) -> Self {
        let mut document = self.document.clone();
        document.insert(PROGRAM.into(), Value::String(program.to_string()));
        Self::of(document)
    }

    /// A proxy's own settings with this version applied: classes by name, field by field; tenants whole; everything else by name.
    ///
    /// # Errors
    /// The path of what this proxy cannot apply: a class that it does not have.
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

/// Applies objects field by field, and any other value whole.
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
                format!("a class that this proxy has, not {name}; classes come with a restart alone"),
            )
        })?;
        apply(found, class);
    }
    Ok(())
}

/// A canonical text of the content, independent of the order of fields.
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
        plain => plain.to_string(),
    }
}
