//! Header mutations of requests and responses (`HeaderValueOption`; Envoy: "Custom request/response headers").

/// What to do with a value when the header may already be present (`HeaderAppendAction`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Append {
    /// `APPEND_IF_EXISTS_OR_ADD`: adds the value after existing ones.
    Add,
    /// `ADD_IF_ABSENT`: sets the value only if the header is absent.
    IfAbsent,
    /// `OVERWRITE_IF_EXISTS_OR_ADD`: replaces all existing values.
    Overwrite,
    /// `OVERWRITE_IF_EXISTS`: replaces all existing values; does nothing if the header is absent.
    OverwriteOnly,
}

/// One header to set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Header name in lower case.
    pub name: String,
    /// Header value.
    pub value: String,
    /// How the value combines with existing ones.
    pub append: Append,
}

/// Header mutations for one direction (request or response) from one level of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mutations {
    /// Headers to set, in order.
    pub set: Vec<Change>,
    /// Headers to remove, before any header is set; names in lower case.
    pub remove: Vec<String>,
}

impl Mutations {
    /// Returns `true` if no header is changed.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.remove.is_empty()
    }
}
