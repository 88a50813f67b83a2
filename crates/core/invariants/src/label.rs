//! Enumerations whose values are metric labels.

/// A value by which metrics are broken down.
pub trait Label: Copy + 'static {
    /// All values, in the order in which they are rendered.
    const ALL: &'static [Self];

    /// The label's text in metrics and logs.
    fn name(self) -> &'static str;

    /// Position in [`Label::ALL`].
    fn index(self) -> usize;
}

/// Declares a field-less enumeration whose values are metric labels.
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
