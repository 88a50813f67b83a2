//! Settings that change over a fleet: a [`Generation`] is a checked document, named by the digest of its content, that a
//! proxy lays over the settings of its own file. An [`Assignment`] tells one proxy which generation it is to act by. No I/O.
//!
//! A generation may also name the program that is to run, by the digest of its file; that is a host's to obey, and is none of
//! the settings that are laid over.
//!
//! What else a generation may say is what can be taken at one moment while requests are open (`docs/design-rollout.md`): the terms
//! of classes, tenants and their shares, advised waits, attempts, prices. Which classes, data centres and machine kinds
//! there are, and what a proxy is, stay as its file says.
#![forbid(unsafe_code)]

mod assignment;
mod check;
mod digest;

pub use assignment::{AssignmentError, ConfigAssignment, FORM};
pub use check::FieldError;
pub use digest::{Digest, ParseDigestError};

use serde_json::{Map, Value};

/// A document is at most this long, in bytes of JSON.
pub const MOST: usize = 48 << 10;

/// The field that names a program.
const PROGRAM: &str = "program";

/// Settings to lay over a proxy's own; checked.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigVersion {
    digest: Digest,
    document: Map<String, Value>,
}

impl ConfigVersion {
    /// The one that says nothing: each proxy acts by its own file.
    pub fn base() -> Self {
        Self::of(Map::new())
    }

    fn of(document: Map<String, Value>) -> Self {
        let digest = Digest::of(canonical(&Value::Object(document.clone())).as_bytes());
        ConfigVersion { digest, document }
    }

    /// Checks a document.
    ///
    /// # Errors
    /// The path of the first field that is at fault, and what was expected there.
    pub fn read(document: &Value) -> Result<Self, FieldError> {
        let length = document.to_string().len();
        if length > MOST {
            return Err(FieldError::at("", format!("{MOST} bytes at most, not {length}")));
        }
        let object = document.as_object().ok_or_else(|| FieldError::at("", "an object of settings"))?;
        check::check(object)?;
        Ok(Self::of(object.clone()))
    }

    /// The name of its content: the same for the same settings, in whatever order they stand.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The document.
    pub fn document(&self) -> Value {
        Value::Object(self.document.clone())
    }

    /// The program that is to run; `None`: the one that the file of each host says.
    pub fn program(&self) -> Option<Digest> {
        self.document.get(PROGRAM)?.as_str()?.parse().ok()
    }

    /// The same settings with this program.
    pub fn with_program(&self, program: Digest) -> Self {
        let mut document = self.document.clone();
        document.insert(PROGRAM.into(), Value::String(program.to_string()));
        Self::of(document)
    }

    /// A proxy's own settings with these laid over: classes by name, field by field; tenants whole; the rest by name.
    ///
    /// # Errors
    /// What this proxy can't obey, with its path: a class that it doesn't have.
    pub fn over(&self, own: &Value) -> Result<Value, FieldError> {
        let mut result = own.clone();
        for (name, told) in &self.document {
            match name.as_str() {
                PROGRAM => {}
                "categories" => classes(&mut result["categories"], told)?,
                _ => lay(&mut result[name.as_str()], told),
            }
        }
        Ok(result)
    }
}

/// Lays objects over one another field by field, and anything else whole.
fn lay(own: &mut Value, told: &Value) {
    match (own, told) {
        (Value::Object(own), Value::Object(told)) => {
            told.iter().for_each(|(name, v)| lay(own.entry(name.clone()).or_insert(Value::Null), v));
        }
        (own, told) => *own = told.clone(),
    }
}

fn classes(own: &mut Value, told: &Value) -> Result<(), FieldError> {
    for (i, class) in told.as_array().into_iter().flatten().enumerate() {
        let name = &class["name"];
        let found = own.as_array_mut().and_then(|own| own.iter_mut().find(|c| c["name"] == *name));
        let found = found.ok_or_else(|| {
            let path = format!("categories[{i}].name");
            FieldError::at(
                path,
                format!("a class that this proxy has, not {name}; classes come with a restart alone"),
            )
        })?;
        lay(found, class);
    }
    Ok(())
}

/// A text that is the same for the same content.
fn canonical(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let mut fields: Vec<_> = fields.iter().collect();
            fields.sort_by_key(|(name, _)| name.as_str());
            let fields: Vec<String> = fields
                .iter()
                .map(|(n, v)| format!("{}:{}", Value::String((*n).clone()), canonical(v)))
                .collect();
            format!("{{{}}}", fields.join(","))
        }
        Value::Array(list) => format!("[{}]", list.iter().map(canonical).collect::<Vec<_>>().join(",")),
        plain => plain.to_string(),
    }
}
