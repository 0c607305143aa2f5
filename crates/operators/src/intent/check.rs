//! Converts a document to an intent and collects the errors in it.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    ops::Range, //
};

use basilbridge_common::{
    id::Name,
    job::Kind,
    unit::Resources, //
};

use super::{
    DesiredTeam, Intent, IntentError,
    fields::Fields,
    tree::{
        Field,
        Node,
        Value, //
    },
};
use crate::configuration::{
    Queue,
    TeamSettings,
    Workload, //
};

/// Reads an intent from its document and adds all errors to `errors`.
pub(super) fn read_intent(document: &Node, errors: &mut Vec<IntentError>) -> Intent {
    let mut fields = Fields::new(document, errors);
    let team_nodes = fields.tables("team");
    let queue_nodes = fields.tables("queue");
    let workload_nodes = fields.tables("workload");
    let evacuate = read_evacuate(&mut fields);
    fields.finish();
    let teams = read_named(team_nodes, errors, |fields, name| {
        let settings = read_team_settings(fields)?;
        Some(DesiredTeam { name, settings })
    });
    let queues = read_named(queue_nodes, errors, |fields, name| {
        let open_for = fields.text("open_for").map(|(text, _)| text.into());
        Some(Queue { name, open_for })
    });
    let workloads = read_named(workload_nodes, errors, read_workload);
    let tables = Tables {
        teams: team_nodes,
        queues: queue_nodes,
    };
    check_references(&tables, &teams, &queues, &workloads, errors);
    Intent {
        teams: teams.into_iter().map(|(team, _)| team).collect(),
        queues: queues.into_iter().map(|(queue, _)| queue).collect(),
        workloads: workloads
            .into_iter()
            .map(|(workload, _)| workload)
            .collect(),
        evacuate,
    }
}

/// Reads the names of the data centres to evacuate, which must be unique.
fn read_evacuate(fields: &mut Fields<'_, '_>) -> BTreeSet<Name> {
    let mut names = BTreeSet::new();
    for node in fields.names("evacuate") {
        let Some(name) = fields.list_name(node) else {
            continue;
        };
        if !names.insert(name.clone()) {
            fields.add_error(node.span.clone(), &format!("duplicate name `{name}`"));
        }
    }
    names
}

/// The tables of teams and queues, including those with errors.
struct Tables<'a> {
    teams: &'a [Node],
    queues: &'a [Node],
}

type Parsed<'a, T> = Vec<(T, &'a Node)>;

/// Reads tables that have a name, which must be unique.
fn read_named<'a, T>(
    nodes: &'a [Node],
    errors: &mut Vec<IntentError>,
    read: impl Fn(&mut Fields<'_, '_>, Name) -> Option<T>,
) -> Parsed<'a, T> {
    let mut seen: HashMap<String, ()> = HashMap::new();
    let mut items = Vec::new();
    for node in nodes {
        let mut fields = Fields::new(node, errors);
        let name = fields.name();
        if let Some((name, span)) = &name
            && seen.insert(name.to_string(), ()).is_some()
        {
            fields.add_error(span.clone(), &format!("duplicate name `{name}`"));
        }
        // Reads the other fields also if the name is invalid, to report their errors too.
        let has_name = name.is_some();
        let name = name.map_or_else(|| "".into(), |(name, _)| name);
        let item = read(&mut fields, name);
        fields.finish();
        if let Some(item) = item.filter(|_| has_name) {
            items.push((item, node));
        }
    }
    items
}

fn read_team_settings(fields: &mut Fields<'_, '_>) -> Option<TeamSettings> {
    let share = fields.integer("share", 1..=u32::MAX, None);
    let limit = fields.table("limit").map(|node| {
        let mut fields = Fields::new(node, fields.errors);
        let limit = read_resources(&mut fields);
        fields.finish();
        limit
    });
    let limit = match limit {
        Some(None) => return None,
        Some(limit) => limit,
        None => None,
    };
    Some(TeamSettings {
        share: share?,
        limit,
    })
}

fn read_resources(fields: &mut Fields<'_, '_>) -> Option<Resources> {
    let cores = fields.cpu_millis("cores");
    let memory = fields.memory_mib("memory");
    let accelerators = fields.integer("accelerators", 0..=u32::MAX, Some(0));
    Some(Resources {
        cpu_millis: cores?,
        memory_mib: memory?,
        accelerators: u64::from(accelerators?),
    })
}

fn read_workload(fields: &mut Fields<'_, '_>, name: Name) -> Option<Workload> {
    let team = fields.required_text("team");
    let queue = fields.required_text("queue");
    let kind = fields.kind();
    let resources = read_resources(fields);
    let count = fields.integer("count", 1..=1_000_000, Some(1));
    let spread = fields.find("spread").map(|field| field.name_span.clone());
    let max_per_rack = fields.integer("spread", 1..=u32::MAX, Some(u32::MAX));
    if let (Some(span), Some(Kind::Batch | Kind::Gang)) = (&spread, kind) {
        fields.add_error(span.clone(), "`spread` is allowed only for services");
    }
    let repeatable = fields.boolean("repeatable", true);
    let payload = fields.text("payload").map(|(text, _)| text);
    Some(Workload {
        name,
        team: team?.into(),
        queue: queue?.into(),
        kind: kind?,
        resources: resources?,
        count: count?,
        spread: spread.and(max_per_rack),
        repeatable: repeatable?,
        payload: payload.unwrap_or_default(),
    })
}

/// Checks that the teams and queues that the tables refer to exist, and that no single task exceeds
/// the limit of its team.
fn check_references(
    tables: &Tables<'_>,
    teams: &Parsed<'_, DesiredTeam>,
    queues: &Parsed<'_, Queue>,
    workloads: &Parsed<'_, Workload>,
    errors: &mut Vec<IntentError>,
) {
    // Also finds tables that were dropped because of an error in another field.
    let is_declared = |nodes: &[Node], name: &str| {
        let mut nodes = nodes.iter();
        nodes.any(|node| text_field(node, "name") == Some(name))
    };
    for (queue, node) in queues {
        if let Some(team) = &queue.open_for
            && !is_declared(tables.teams, team)
        {
            let message = format!("team `{team}` is not defined in this intent");
            errors.push(IntentError::new(field_span(node, "open_for"), &message));
        }
    }
    for (workload, node) in workloads {
        if !is_declared(tables.queues, &workload.queue) {
            let message = format!("queue `{}` is not defined in this intent", workload.queue);
            errors.push(IntentError::new(field_span(node, "queue"), &message));
        }
        let team = teams.iter().find(|(team, _)| team.name == workload.team);
        let Some((team, _)) = team else {
            if !is_declared(tables.teams, &workload.team) {
                let message = format!("team `{}` is not defined in this intent", workload.team);
                errors.push(IntentError::new(field_span(node, "team"), &message));
            }
            continue;
        };
        if team
            .settings
            .limit
            .is_some_and(|limit| !workload.resources.fits(&limit))
        {
            let message = format!("one task exceeds the limit of team `{}`", workload.team);
            errors.push(IntentError::new(node.span.clone(), &message));
        }
    }
}

fn find_field<'a>(node: &'a Node, name: &str) -> Option<&'a Field> {
    match &node.value {
        Value::Table(fields) => fields.iter().find(|field| field.name == name),
        _ => None,
    }
}

fn text_field<'a>(node: &'a Node, name: &str) -> Option<&'a str> {
    match &find_field(node, name)?.node.value {
        Value::Text(text) => Some(text),
        _ => None,
    }
}

fn field_span(node: &Node, name: &str) -> Range<usize> {
    find_field(node, name).map_or(node.span.clone(), |field| field.node.span.clone())
}
