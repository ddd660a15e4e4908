//! The command `briarladder demo`: runs a deployment on loopback and sends a
//! sample request to each of its pipelines.

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

/// The caller name in the requests of the demo.
const CALLER: &str = "demo";

/// The maximum number of characters of an output that are printed.
const MAX_OUTPUT_CHARS: usize = 300;

/// Runs a deployment on loopback and sends a sample request to each pipeline.
///
/// The deployment consists of daemons and of stand-ins for the platform and
/// the backend servers. The command prints the responses and stops.
#[derive(Clone, Debug, clap::Args)]
#[command(after_help = "Examples:\n  \
    briarladder demo\n  \
    briarladder demo --sample kandyan\n  \
    briarladder demo --serve --first-port 8080")]
pub struct Args {
    /// The object set to run.
    #[arg(long, value_enum, default_value = "dobradura")]
    sample: Sample,
    /// Keep running until interrupted, and print the daemons' addresses.
    #[arg(long)]
    serve: bool,
    /// The number of daemons in each availability zone.
    #[arg(
        long,
        default_value_t = 1,
        value_parser = clap::value_parser!(u16).range(1..=20)
    )]
    daemons_per_zone: u16,
    /// The port on which the first daemon serves callers. Each further daemon
    /// uses the next port. By default, free ports are used.
    #[arg(long)]
    first_port: Option<u16>,
    /// The factor by which the service times of the backend servers are
    /// multiplied, from 0 to 100.
    #[arg(long, default_value_t = 0.25, value_parser = parse_time_scale)]
    time_scale: f64,
    /// The key with which peers and operators authenticate, at least 16 bytes.
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

fn parse_time_scale(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(scale) if (0.0..=100.0).contains(&scale) => Ok(scale),
        _ => Err("the time scale must be a number from 0 to 100".into()),
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the deployment can't start or a sample request does
/// not succeed.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(run_demo(args))?;
    Ok(ExitCode::SUCCESS)
}

async fn run_demo(args: &Args) -> anyhow::Result<()> {
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
        "{} daemons and {} backend servers in {} availability zones",
        fleet.daemons().len(),
        fleet.cluster().backends().len(),
        fleet.zones().len()
    );
    let result = send_sample_requests(&fleet).await;
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

async fn send_sample_requests(fleet: &Fleet) -> anyhow::Result<()> {
    let client = Client::builder().no_proxy().build()?;
    let objects = fleet.cluster().objects();
    let addresses = fleet.callers_addresses();
    let pipelines = objects.iter().filter_map(|object| match object {
        Object::Pipeline(pipeline) => Some(pipeline),
        _ => None,
    });
    for (number, pipeline) in pipelines.enumerate() {
        let workspace = find_workspace(objects, pipeline)?;
        let sample = SampleRequest {
            client: &client,
            // Every daemon accepts every request, so the requests go to the
            // daemons in turn.
            receiver: addresses[number % addresses.len()],
            issuer: addresses[(number + 1) % addresses.len()],
            pipeline,
            workspace,
        };
        sample.send(is_idempotent(objects, pipeline)).await?;
    }
    Ok(())
}

/// Returns a workspace that may use a pipeline.
fn find_workspace<'a>(
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

/// Returns whether all stages of a pipeline are idempotent.
fn is_idempotent(objects: &[Object], pipeline: &Pipeline) -> bool {
    let unused_or_idempotent = |stage: &Stage| {
        !pipeline.stages.contains(&stage.name) || stage.idempotent
    };
    objects.iter().all(|object| match object {
        Object::Stage(stage) => unused_or_idempotent(stage),
        _ => true,
    })
}

/// A request to one pipeline, sent on behalf of one workspace.
struct SampleRequest<'a> {
    client: &'a Client,
    /// The daemon that receives the request.
    receiver: SocketAddr,
    /// The daemon that issues the ticket of a non-idempotent request.
    issuer: SocketAddr,
    pipeline: &'a Pipeline,
    workspace: &'a Workspace,
}

impl SampleRequest<'_> {
    async fn send(&self, idempotent: bool) -> anyhow::Result<()> {
        let name = &self.pipeline.name;
        let body = json!({"sample": name.as_str(), "sheet_mm": [420, 594]});
        let url = format!("http://{}/v1/pipelines/{name}", self.receiver);
        let mut request = self.client.post(url).json(&body);
        if !idempotent {
            // The receiver forwards the call to the issuer of the ticket.
            let ticket = self.obtain_ticket().await?;
            request = request.header(TICKET_HEADER, ticket);
        }
        let started_at = Instant::now();
        let response = self.add_caller_headers(request).send().await?;
        let response = read_response(response).await?;
        let stages: Vec<String> = response
            .stages
            .iter()
            .map(|s| format!("{} at {}", s.stage, s.server))
            .collect();
        println!(
            "\n{name} for {}: {} in {} ms under epoch {}\n  {}\n  {}",
            self.workspace.name,
            response.outcome,
            started_at.elapsed().as_millis(),
            response.epoch,
            stages.join(", "),
            summarize_output(response.output.get())
        );
        Ok(())
    }

    async fn obtain_ticket(&self) -> anyhow::Result<String> {
        let url = format!("http://{}/v1/tickets", self.issuer);
        let request = self.add_caller_headers(self.client.post(url));
        let response = request.send().await?.error_for_status()?;
        let issued: TicketIssued = response.json().await?;
        Ok(issued.ticket)
    }

    fn add_caller_headers(&self, request: RequestBuilder) -> RequestBuilder {
        request
            .header(WORKSPACE_HEADER, self.workspace.name.as_str())
            .header(CALLER_HEADER, CALLER)
    }
}

/// Parses a response. A response with an error status becomes an error.
async fn read_response(
    response: Response,
) -> anyhow::Result<PipelineResponse> {
    if response.status().is_success() {
        return Ok(response.json().await?);
    }
    let problem: Problem = response.json().await?;
    bail!("{} ({}): {}", problem.title, problem.outcome, problem.detail);
}

/// Returns the text of a generation, or other output as JSON, truncated to
/// [`MAX_OUTPUT_CHARS`].
fn summarize_output(json: &str) -> String {
    let value: Value = serde_json::from_str(json).unwrap_or_default();
    let text = match value.get("text").and_then(Value::as_str) {
        Some(text) => text.to_owned(),
        None => json.to_owned(),
    };
    match text.char_indices().nth(MAX_OUTPUT_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}
