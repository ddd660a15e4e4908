//! `briarladder demo`: a whole deployment on loopback, with a sample request
//! for each pipeline.

use std::{net::SocketAddr, process::ExitCode, time::Instant};

use anyhow::{Context, bail};
use briarladder_core::objects::{Object, Pipeline, Stage, Workspace};
use briarladder_daemon::settings::Secret;
use briarladder_standins::cluster::ClusterSettings;
use briarladder_wire::callers::{
    CALLER_HEADER, PipelineResponse, Problem, TICKET_HEADER, TicketIssued,
    WORKSPACE_HEADER,
};
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};

use crate::{
    fleet::{self, Fleet, FleetSettings},
    samples::Sample,
};

/// The caller that the demo names in its requests.
const CALLER: &str = "demo";

/// The most characters of an answer that are printed.
const SHOWN_CHARS: usize = 300;

/// Starts stand-ins for the platform and the backend servers, and several
/// daemons, all on loopback; sends a sample of each pipeline, prints the
/// answers and stops.
#[derive(Clone, Debug, clap::Args)]
#[command(after_help = "Examples:\n  \
    briarladder demo\n  \
    briarladder demo --sample kandyan\n  \
    briarladder demo --serve --first-port 8080")]
pub struct Args {
    /// The object set to run.
    #[arg(long, value_enum, default_value = "dobradura")]
    sample: Sample,
    /// Keep running until interrupted, and print where to send requests.
    #[arg(long)]
    serve: bool,
    /// The daemons in each availability zone.
    #[arg(
        long,
        default_value_t = 1,
        value_parser = clap::value_parser!(u16).range(1..=20)
    )]
    daemons_per_zone: u16,
    /// The callers' port of the first daemon; each further daemon takes the
    /// next one. Left out, free ports are taken.
    #[arg(long)]
    first_port: Option<u16>,
    /// The factor on all service times of the backend servers.
    #[arg(long, default_value_t = 0.25, value_parser = time_scale)]
    time_scale: f64,
    /// The key that peers and operators show, at least 16 bytes.
    #[arg(
        long,
        value_name = "KEY",
        env = "BRIARLADDER_PEER_KEY",
        hide_env_values = true,
        default_value = fleet::DEFAULT_PEER_KEY,
        hide_default_value = true
    )]
    peer_key: Secret,
}

fn time_scale(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(scale) if (0.0..=100.0).contains(&scale) => Ok(scale),
        _ => Err("set it to a number from 0 to 100".into()),
    }
}

/// Runs the demo.
///
/// # Errors
///
/// Returns an error when a part can't start or a sample gets no answer.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(run_fleet(args))?;
    Ok(ExitCode::SUCCESS)
}

async fn run_fleet(args: &Args) -> anyhow::Result<()> {
    let objects = args.sample.objects()?;
    let settings = FleetSettings {
        daemons_per_zone: usize::from(args.daemons_per_zone),
        cluster: ClusterSettings {
            time_scale: args.time_scale,
            ..ClusterSettings::default()
        },
        first_port: args.first_port,
        peer_key: args.peer_key.clone(),
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(objects, settings).await?;
    println!(
        "{} daemons before {} backend servers in {} availability zones",
        fleet.daemons().len(),
        fleet.cluster().backends().len(),
        fleet.zones().len()
    );
    let result = send_samples(&fleet).await;
    if args.serve && result.is_ok() {
        print_addresses(&fleet);
        tokio::signal::ctrl_c().await?;
    }
    fleet.stop().await;
    result
}

fn print_addresses(fleet: &Fleet) {
    println!("\nServing until interrupted (Ctrl-C):");
    for running in fleet.daemons() {
        println!(
            "  {:<24} http://{}  for operators: --daemon {}",
            running.daemon().settings.vm.as_str(),
            running.callers_address(),
            running.daemon().peer_address
        );
    }
}

async fn send_samples(fleet: &Fleet) -> anyhow::Result<()> {
    let client = Client::builder().no_proxy().build()?;
    let objects = fleet.cluster().objects();
    let addresses = fleet.callers_addresses();
    let pipelines = objects.iter().filter_map(|object| match object {
        Object::Pipeline(pipeline) => Some(pipeline),
        _ => None,
    });
    for (number, pipeline) in pipelines.enumerate() {
        let workspace = workspace_of(objects, pipeline)?;
        let sample = SampleCall {
            client: &client,
            // Any daemon takes any request, so they take turns.
            first: addresses[number % addresses.len()],
            second: addresses[(number + 1) % addresses.len()],
            pipeline,
            workspace,
        };
        sample.send(is_repeatable(objects, pipeline)).await?;
    }
    Ok(())
}

fn workspace_of<'a>(
    objects: &'a [Object],
    pipeline: &Pipeline,
) -> anyhow::Result<&'a Workspace> {
    objects
        .iter()
        .find_map(|object| match object {
            Object::Workspace(workspace)
                if workspace.pipelines.contains(&pipeline.name) =>
            {
                Some(workspace)
            }
            _ => None,
        })
        .with_context(|| format!("no workspace may use {}", pipeline.name))
}

fn is_repeatable(objects: &[Object], pipeline: &Pipeline) -> bool {
    let idempotent = |stage: &Stage| {
        !pipeline.stages.contains(&stage.name) || stage.idempotent
    };
    objects.iter().all(|object| match object {
        Object::Stage(stage) => idempotent(stage),
        _ => true,
    })
}

struct SampleCall<'a> {
    client: &'a Client,
    first: SocketAddr,
    second: SocketAddr,
    pipeline: &'a Pipeline,
    workspace: &'a Workspace,
}

impl SampleCall<'_> {
    async fn send(&self, repeatable: bool) -> anyhow::Result<()> {
        let name = &self.pipeline.name;
        let body = json!({"sample": name.as_str(), "sheet_mm": [420, 594]});
        let url = format!("http://{}/v1/pipelines/{name}", self.first);
        let mut request = self.client.post(url).json(&body);
        if !repeatable {
            // The ticket comes from another daemon than the one that
            // receives the call, which forwards it.
            let ticket = self.ticket().await?;
            request = request.header(TICKET_HEADER, ticket);
        }
        let started_at = Instant::now();
        let response = self.identified(request).send().await?;
        let answer = read_answer(response).await?;
        let stages: Vec<String> = answer
            .stages
            .iter()
            .map(|s| format!("{} at {}", s.stage, s.server))
            .collect();
        println!(
            "\n{name} for {}: {} in {} ms under epoch {}\n  {}\n  {}",
            self.workspace.name,
            answer.outcome,
            started_at.elapsed().as_millis(),
            answer.epoch,
            stages.join(", "),
            shortened(answer.output.get())
        );
        Ok(())
    }

    async fn ticket(&self) -> anyhow::Result<String> {
        let url = format!("http://{}/v1/tickets", self.second);
        let request = self.identified(self.client.post(url));
        let response = request.send().await?.error_for_status()?;
        let issued: TicketIssued = response.json().await?;
        Ok(issued.ticket)
    }

    fn identified(&self, request: RequestBuilder) -> RequestBuilder {
        request
            .header(WORKSPACE_HEADER, self.workspace.name.as_str())
            .header(CALLER_HEADER, CALLER)
    }
}

async fn read_answer(response: Response) -> anyhow::Result<PipelineResponse> {
    if response.status().is_success() {
        return Ok(response.json().await?);
    }
    let problem: Problem = response.json().await?;
    bail!("{} ({}): {}", problem.title, problem.outcome, problem.detail);
}

fn shortened(json: &str) -> String {
    let value: Value = serde_json::from_str(json).unwrap_or_default();
    // Generated tokens read better as text than as a list.
    let text = match value.get("text").and_then(Value::as_str) {
        Some(text) => text.to_owned(),
        None => json.to_owned(),
    };
    match text.char_indices().nth(SHOWN_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}
