//! The fields of a table, read one by one with what is wrong with each.

use std::ops::Range;

use basilbridge_common::{
    id::Name,
    job::Kind, //
};
use bytesize::ByteSize;

use super::{
    Fault,
    tree::{
        Field,
        Node,
        Value, //
    },
};

const MIB_BYTES: u64 = 1024 * 1024;
const MILLIS_PER_CORE: f64 = 1000.0;
const MAX_NAME_BYTES: usize = 64;
const MAX_AMOUNT: f64 = 1e9;

/// The fields of one table, taken one by one.
pub(super) struct Fields<'a, 'f> {
    span: Range<usize>,
    fields: &'a [Field],
    taken: Vec<&'static str>,
    pub(super) faults: &'f mut Vec<Fault>,
}

impl<'a, 'f> Fields<'a, 'f> {
    pub(super) fn of(node: &'a Node, faults: &'f mut Vec<Fault>) -> Self {
        let fields = match &node.value {
            Value::Table(fields) => fields.as_slice(),
            _ => {
                faults.push(Fault::new(node.span.clone(), "a table is wanted here"));
                &[]
            }
        };
        Self {
            span: node.span.clone(),
            fields,
            taken: Vec::new(),
            faults,
        }
    }

    pub(super) fn fault(&mut self, span: Range<usize>, message: &str) {
        self.faults.push(Fault::new(span, message));
    }

    pub(super) fn find(&self, name: &str) -> Option<&'a Field> {
        self.fields.iter().find(|field| field.name == name)
    }

    pub(super) fn take(&mut self, name: &'static str) -> Option<&'a Node> {
        self.taken.push(name);
        self.find(name).map(|field| &field.node)
    }

    /// Takes a field that must be there.
    pub(super) fn expect(&mut self, name: &'static str) -> Option<&'a Node> {
        let node = self.take(name);
        // The fields of an empty table are missing because it is no table at all.
        if node.is_none() {
            self.fault(self.span.clone(), &format!("`{name}` is missing"));
        }
        node
    }

    pub(super) fn tables(&mut self, name: &'static str) -> &'a [Node] {
        match self.take(name) {
            None => &[],
            Some(Node {
                value: Value::List(nodes),
                ..
            }) => nodes,
            Some(node) => {
                self.fault(node.span.clone(), &format!("`{name}` is a list of tables"));
                &[]
            }
        }
    }

    pub(super) fn table(&mut self, name: &'static str) -> Option<&'a Node> {
        self.take(name)
    }

    pub(super) fn text(&mut self, name: &'static str) -> Option<(String, Range<usize>)> {
        let node = self.take(name)?;
        match &node.value {
            Value::Text(text) => Some((text.clone(), node.span.clone())),
            _ => {
                self.fault(node.span.clone(), &format!("`{name}` is a text"));
                None
            }
        }
    }

    pub(super) fn required(&mut self, name: &'static str) -> Option<String> {
        if self.find(name).is_none() {
            self.expect(name);
            return None;
        }
        self.text(name).map(|(text, _)| text)
    }

    pub(super) fn name(&mut self) -> Option<(Name, Range<usize>)> {
        if self.find("name").is_none() {
            self.expect("name");
            return None;
        }
        let (text, span) = self.text("name")?;
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(allowed) {
            let message = format!(
                "a name has 1 to {MAX_NAME_BYTES} letters, digits, dashes, dots and underscores"
            );
            self.fault(span, &message);
            return None;
        }
        Some((text.into(), span))
    }

    pub(super) fn number(&mut self, name: &'static str) -> Option<(f64, Range<usize>)> {
        let node = self.expect(name)?;
        match node.value {
            Value::Number(number) => Some((number, node.span.clone())),
            _ => {
                self.fault(node.span.clone(), &format!("`{name}` is a number"));
                None
            }
        }
    }

    pub(super) fn count(
        &mut self,
        name: &'static str,
        range: std::ops::RangeInclusive<u32>,
        default: Option<u32>,
    ) -> Option<u32> {
        if self.find(name).is_none()
            && let Some(default) = default
        {
            self.taken.push(name);
            return Some(default);
        }
        let (number, span) = self.number(name)?;
        let whole = number.fract() == 0.0;
        let (least, most) = (f64::from(*range.start()), f64::from(*range.end()));
        if !whole || !(least..=most).contains(&number) {
            let message = format!("`{name}` is a whole number from {least} to {most}");
            self.fault(span, &message);
            return None;
        }
        Some(number as u32)
    }

    pub(super) fn cores(&mut self, name: &'static str) -> Option<u64> {
        let (number, span) = self.number(name)?;
        let millis = (number * MILLIS_PER_CORE).round();
        if !(1.0..=MAX_AMOUNT).contains(&millis) {
            self.fault(span, &format!("`{name}` is at least 0.001"));
            return None;
        }
        Some(millis as u64)
    }

    pub(super) fn memory(&mut self, name: &'static str) -> Option<u64> {
        let span = self.expect(name)?.span.clone();
        let (text, _) = self.text(name)?;
        let mebibytes = text
            .parse::<ByteSize>()
            .map(|size| size.as_u64().div_ceil(MIB_BYTES));
        match mebibytes {
            Ok(mebibytes) if mebibytes > 0 => Some(mebibytes),
            _ => {
                self.fault(span, &format!("`{name}` is a size such as \"512MiB\""));
                None
            }
        }
    }

    pub(super) fn flag(&mut self, name: &'static str, default: bool) -> Option<bool> {
        let Some(node) = self.take(name) else {
            return Some(default);
        };
        match node.value {
            Value::Flag(flag) => Some(flag),
            _ => {
                self.fault(node.span.clone(), &format!("`{name}` is true or false"));
                None
            }
        }
    }

    pub(super) fn kind(&mut self) -> Option<Kind> {
        let span = self.expect("kind")?.span.clone();
        let (text, _) = self.text("kind")?;
        match text.as_str() {
            "service" => Some(Kind::Service),
            "batch" => Some(Kind::Batch),
            "gang" => Some(Kind::Gang),
            _ => {
                self.fault(span, "`kind` is service, batch or gang");
                None
            }
        }
    }

    /// Ends the table: fields that were not taken are unknown.
    pub(super) fn end(self) {
        for field in self.fields {
            if !self.taken.contains(&field.name.as_str()) {
                let known = self.taken.join(", ");
                let message = format!("there is no field `{}`, only {known}", field.name);
                self.faults
                    .push(Fault::new(field.name_span.clone(), &message));
            }
        }
    }
}
