//! Enumerations whose values are used as metric labels.

/// A value of a metric label.
pub trait Label: Copy + 'static {
    /// All values, in the order in which they are rendered.
    const ALL: &'static [Self];

    /// The label value in metrics and logs.
    fn name(self) -> &'static str;

    /// The position in [`Label::ALL`].
    fn index(self) -> usize;
}

/// Declares a field-less enumeration that implements [`Label`], with the label value of each variant.
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
