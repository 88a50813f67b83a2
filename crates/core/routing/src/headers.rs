//! Changes of headers on the way there and back (`HeaderValueOption`, "Custom request/response headers").

/// What becomes of a value where the header is there already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Append {
    /// `APPEND_IF_EXISTS_OR_ADD`: it stands behind the others.
    Add,
    /// `ADD_IF_ABSENT`: it is left out.
    IfAbsent,
    /// `OVERWRITE_IF_EXISTS_OR_ADD`: it stands alone.
    Overwrite,
    /// `OVERWRITE_IF_EXISTS`: it stands alone, and only where there was one.
    OverwriteOnly,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The header's name in lower case.
    pub name: String,
    /// Its value.
    pub value: String,
    /// What becomes of it.
    pub append: Append,
}

/// Changes of one side's headers at one place of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mutations {
    /// To set, in order.
    pub set: Vec<Change>,
    /// To take out, before anything is set; names in lower case.
    pub remove: Vec<String>,
}

impl Mutations {
    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.remove.is_empty()
    }
}
