//! `umbertray demo`: runs gateways, a coordinator and fakes in one process, without a settings file.

use std::path::PathBuf;

use serde_json::json;
use tokio::task::JoinSet;
use umbertray_config::SettingsDocument;
use umbertray_coordinator::{CoordinatorOptions, RunningCoordinator, Takeover};
use umbertray_fakes::fleet::Fleet;
use umbertray_fakes::model::StorePerformance;
use umbertray_nbd_gateway::RunningGateway;

use crate::error::{CommandError, ScriptProblems};
use crate::{output, serve};

#[derive(clap::Args)]
pub(crate) struct Arguments {
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=32))]
    gateways: u32,
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=64))]
    stores: u32,
}

/// Reads the built-in settings, which the demo and the measurements use.
pub(crate) fn document(gateways: u32) -> Result<SettingsDocument, ScriptProblems> {
    let script = include_str!("demo.star").to_string();
    let mut document = umbertray_config::read("demo.star", script).map_err(ScriptProblems)?;
    document.settings.gateways = gateways;
    for volume in &mut document.settings.volumes {
        volume.gateways = gateways;
    }
    Ok(document)
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), CommandError> {
    let document = document(arguments.gateways)?;
    let performance = StorePerformance { unit_ms: 1.0, ..StorePerformance::default() };
    let fleet = Fleet::start(arguments.stores, performance, 1).await.map_err(CommandError::io("stores"))?;
    let folder = std::env::temp_dir().join(format!("umbertray-demo-{}", std::process::id()));
    let coordinator = start_coordinator(&fleet, folder.clone()).await?;
    let gateways = start_gateways(arguments.gateways, &document, &fleet, &coordinator).await?;
    let addresses: Vec<String> =
        gateways.iter().flat_map(|gateway| &gateway.addresses).map(ToString::to_string).collect();
    let exports: Vec<&String> = document.settings.volumes.iter().map(|volume| &volume.name).collect();
    let coordinator_address = coordinator.address.to_string();
    output::print_json(&json!({ "nbd": addresses, "exports": exports, "keeper": coordinator_address }));
    serve::stop_signal().await?;
    stop_gateways(gateways).await?;
    drop(coordinator);
    // The extent map is of no use after the demo: the fake stores lose their data with it.
    _ = std::fs::remove_dir_all(folder);
    Ok(())
}

async fn start_coordinator(fleet: &Fleet, folder: PathBuf) -> Result<RunningCoordinator, CommandError> {
    let options = CoordinatorOptions {
        listen: umbertray_fakes::fleet::any_port(),
        endpoint_list: fleet.list.address,
        folder,
        takeover: Takeover::Never,
    };
    Ok(umbertray_coordinator::start(options).await?)
}

/// Starts gateways that differ only in their seed.
async fn start_gateways(
    count: u32,
    document: &SettingsDocument,
    fleet: &Fleet,
    coordinator: &RunningCoordinator,
) -> Result<Vec<RunningGateway>, CommandError> {
    let mut gateways = Vec::new();
    for seed in 0..count {
        let mut document = document.clone();
        document.endpoint_list = fleet.list.address;
        document.seed = seed.into();
        document.coordinator = Some(coordinator.address);
        gateways.push(serve::start(document, None).await?);
    }
    Ok(gateways)
}

/// Stops all gateways concurrently, since each may drain for as long as its longest deadline.
async fn stop_gateways(gateways: Vec<RunningGateway>) -> Result<(), CommandError> {
    let mut stopping = JoinSet::new();
    for gateway in gateways {
        stopping.spawn(gateway.stop());
    }
    while let Some(stopped) = stopping.join_next().await {
        stopped?.map_err(CommandError::Ended)?;
    }
    Ok(())
}
