//! Attribute macros that apply the sets of derives used in this workspace.
//!
//! Each attribute stands for the purpose of a type, so that all types of one purpose have the same
//! traits and the same serialised form. See `docs/design/style.md`.

use proc_macro::TokenStream;

const DATA: &str = "#[::serde_with::serde_as] \
    #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)] \
    #[serde(deny_unknown_fields)]";

const ID: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, \
    ::serde::Serialize, ::serde::Deserialize)] #[serde(transparent)]";

const KIND: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, \
    ::serde::Serialize, ::serde::Deserialize)] #[serde(rename_all = \"snake_case\")]";

fn prepend_attributes(attributes: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream = attributes
        .parse()
        .expect("the attribute lists must be valid Rust");
    tokens.extend(item);
    tokens
}

/// Derives the traits of a message or a stored record; unknown fields are refused.
#[proc_macro_attribute]
pub fn data(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes(DATA, item)
}

/// Derives the traits of a small identifier or amount that is passed by copy.
#[proc_macro_attribute]
pub fn id(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes(ID, item)
}

/// Derives the traits of an enum of unit variants, which are serialised in snake case.
#[proc_macro_attribute]
pub fn kind(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes(KIND, item)
}
