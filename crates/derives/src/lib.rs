//! Attributes that apply the sets of derives this workspace uses.
//!
//! One attribute names the purpose of a type, so that all types of one purpose carry the same
//! traits and the same wire form. See `docs/design/style.md`.

use proc_macro::TokenStream;

const DATA: &str = "#[::serde_with::serde_as] \
    #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)] \
    #[serde(deny_unknown_fields)]";

const ID: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, \
    ::serde::Serialize, ::serde::Deserialize)] #[serde(transparent)]";

const KIND: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, \
    ::serde::Serialize, ::serde::Deserialize)] #[serde(rename_all = \"snake_case\")]";

fn prefix(attributes: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream = attributes
        .parse()
        .expect("the attribute lists above are valid Rust");
    tokens.extend(item);
    tokens
}

/// Derives what a message or a stored record needs; unknown fields are refused.
#[proc_macro_attribute]
pub fn data(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    prefix(DATA, item)
}

/// Derives what a small copied identifier or amount needs.
#[proc_macro_attribute]
pub fn id(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    prefix(ID, item)
}

/// Derives what a closed list of names needs; on the wire they are in snake case.
#[proc_macro_attribute]
pub fn kind(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    prefix(KIND, item)
}
