//! Reads the fields of an intent and collects what is wrong with them.

use std::{
    collections::HashMap,
    ops::Range, //
};

use basilbridge_common::{
    id::Name,
    job::Kind,
    unit::Resources, //
};

use super::{
    DesiredTeam, Fault, Intent,
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

/// Reads an intent from its document.
pub(super) fn read(document: &Node, faults: &mut Vec<Fault>) -> Intent {
    let mut fields = Fields::of(document, faults);
    let team_nodes = fields.tables("team");
    let queue_nodes = fields.tables("queue");
    let workload_nodes = fields.tables("workload");
    fields.end();
    let teams = named(team_nodes, faults, |fields, name| {
        let settings = settings(fields)?;
        Some(DesiredTeam { name, settings })
    });
    let queues = named(queue_nodes, faults, |fields, name| {
        let open_for = fields.text("open_for").map(|(text, _)| text.into());
        Some(Queue { name, open_for })
    });
    let workloads = named(workload_nodes, faults, workload);
    let tables = Tables {
        teams: team_nodes,
        queues: queue_nodes,
    };
    check_references(&tables, &teams, &queues, &workloads, faults);
    Intent {
        teams: teams.into_iter().map(|(team, _)| team).collect(),
        queues: queues.into_iter().map(|(queue, _)| queue).collect(),
        workloads: workloads
            .into_iter()
            .map(|(workload, _)| workload)
            .collect(),
    }
}

/// The tables of teams and queues, faulty ones included.
struct Tables<'a> {
    teams: &'a [Node],
    queues: &'a [Node],
}

type Read<'a, T> = Vec<(T, &'a Node)>;

/// Reads tables that have a name, which must differ from each other.
fn named<'a, T>(
    nodes: &'a [Node],
    faults: &mut Vec<Fault>,
    read: impl Fn(&mut Fields<'_, '_>, Name) -> Option<T>,
) -> Read<'a, T> {
    let mut seen: HashMap<String, ()> = HashMap::new();
    let mut items = Vec::new();
    for node in nodes {
        let mut fields = Fields::of(node, faults);
        let name = fields.name();
        if let Some((name, span)) = &name
            && seen.insert(name.to_string(), ()).is_some()
        {
            fields.fault(span.clone(), &format!("the name `{name}` stands twice"));
        }
        // A fault in the name must not hide those in the other fields.
        let known = name.is_some();
        let name = name.map_or_else(|| "".into(), |(name, _)| name);
        let item = read(&mut fields, name);
        fields.end();
        if let Some(item) = item.filter(|_| known) {
            items.push((item, node));
        }
    }
    items
}

fn settings(fields: &mut Fields<'_, '_>) -> Option<TeamSettings> {
    let share = fields.count("share", 1..=u32::MAX, None);
    let limit = fields.table("limit").map(|node| {
        let mut fields = Fields::of(node, fields.faults);
        let limit = size(&mut fields);
        fields.end();
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

fn size(fields: &mut Fields<'_, '_>) -> Option<Resources> {
    let cores = fields.cores("cores");
    let memory = fields.memory("memory");
    let accelerators = fields.count("accelerators", 0..=u32::MAX, Some(0));
    Some(Resources {
        cpu_millis: cores?,
        memory_mib: memory?,
        accelerators: u64::from(accelerators?),
    })
}

fn workload(fields: &mut Fields<'_, '_>, name: Name) -> Option<Workload> {
    let team = fields.required("team");
    let queue = fields.required("queue");
    let kind = fields.kind();
    let resources = size(fields);
    let count = fields.count("count", 1..=1_000_000, Some(1));
    let spread = fields.find("spread").map(|field| field.name_span.clone());
    let most = fields.count("spread", 1..=u32::MAX, Some(u32::MAX));
    if let (Some(span), Some(Kind::Batch | Kind::Gang)) = (&spread, kind) {
        fields.fault(span.clone(), "`spread` is only for services");
    }
    let repeatable = fields.flag("repeatable", true);
    let payload = fields.text("payload").map(|(text, _)| text);
    Some(Workload {
        name,
        team: team?.into(),
        queue: queue?.into(),
        kind: kind?,
        resources: resources?,
        count: count?,
        spread: spread.and(most),
        repeatable: repeatable?,
        payload: payload.unwrap_or_default(),
    })
}

/// Checks that what the tables name is there, and that no task is over its team's limit alone.
fn check_references(
    tables: &Tables<'_>,
    teams: &Read<'_, DesiredTeam>,
    queues: &Read<'_, Queue>,
    workloads: &Read<'_, Workload>,
    faults: &mut Vec<Fault>,
) {
    // A table with a fault in another field is there all the same.
    let declared = |nodes: &[Node], name: &str| {
        let mut nodes = nodes.iter();
        nodes.any(|node| text_of(node, "name") == Some(name))
    };
    for (queue, node) in queues {
        if let Some(team) = &queue.open_for
            && !declared(tables.teams, team)
        {
            let message = format!("there is no team `{team}` in this intent");
            faults.push(Fault::new(span_of(node, "open_for"), &message));
        }
    }
    for (workload, node) in workloads {
        if !declared(tables.queues, &workload.queue) {
            let message = format!("there is no queue `{}` in this intent", workload.queue);
            faults.push(Fault::new(span_of(node, "queue"), &message));
        }
        let team = teams.iter().find(|(team, _)| team.name == workload.team);
        let Some((team, _)) = team else {
            if !declared(tables.teams, &workload.team) {
                let message = format!("there is no team `{}` in this intent", workload.team);
                faults.push(Fault::new(span_of(node, "team"), &message));
            }
            continue;
        };
        if team
            .settings
            .limit
            .is_some_and(|limit| !workload.resources.fits(&limit))
        {
            let message = format!("one task is over the limit of team `{}`", workload.team);
            faults.push(Fault::new(node.span.clone(), &message));
        }
    }
}

fn field<'a>(node: &'a Node, name: &str) -> Option<&'a Field> {
    match &node.value {
        Value::Table(fields) => fields.iter().find(|field| field.name == name),
        _ => None,
    }
}

fn text_of<'a>(node: &'a Node, name: &str) -> Option<&'a str> {
    match &field(node, name)?.node.value {
        Value::Text(text) => Some(text),
        _ => None,
    }
}

fn span_of(node: &Node, name: &str) -> Range<usize> {
    field(node, name).map_or(node.span.clone(), |field| field.node.span.clone())
}
