//! Enumerations whose values are labels of metrics.

/// A value that figures are counted by.
pub trait Label: Copy + 'static {
    /// All values, in the order in which they are shown.
    const ALL: &'static [Self];

    /// The text of the label in figures and logs.
    fn name(self) -> &'static str;

    /// Its place in [`Label::ALL`].
    fn index(self) -> usize;
}

/// Declares an enumeration without fields whose values are labels.
#[macro_export]
macro_rules! labels {
    (
        $(#[doc = $outer:literal])+
        pub enum $label:ident {
            $($(#[doc = $doc:literal])+ $value:ident = $name:literal,)+
        }
    ) => {
        $(#[doc = $outer])+
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $label {
            $($(#[doc = $doc])+ $value,)+
        }

        impl $crate::Label for $label {
            const ALL: &'static [Self] = &[$($label::$value),+];

            fn name(self) -> &'static str {
                match self {
                    $($label::$value => $name,)+
                }
            }

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}
