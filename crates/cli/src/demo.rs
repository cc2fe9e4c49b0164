//! `umbertray demo`: everything in one process, no file needed.

use umbertray_config::SettingsDocument;
use umbertray_fakes::fleet::Fleet;
use umbertray_fakes::model::Power;

use crate::{output, serve};

#[derive(clap::Args)]
pub struct Arguments {
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=32))]
    gateways: u32,
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=64))]
    stores: u32,
}

/// The settings that the demo and the measurements run on.
pub fn document(gateways: u32) -> Result<SettingsDocument, String> {
    let script = include_str!("demo.star").to_string();
    let mut document = umbertray_config::read("demo.star", script)
        .map_err(|problems| problems.iter().map(|problem| format!("{problem}\n")).collect::<String>())?;
    document.settings.gateways = gateways;
    document.settings.volumes.iter_mut().for_each(|volume| volume.gateways = gateways);
    Ok(document)
}

pub async fn run(arguments: Arguments) -> Result<(), String> {
    let document = document(arguments.gateways)?;
    let power = Power { unit_ms: 1.0, ..Power::default() };
    let fleet = Fleet::start(arguments.stores, power, 1).await.map_err(|error| format!("stores: {error}"))?;
    // The demo's map is not to outlive it; what it is for is seen with `umbertray keeper`.
    let folder = std::env::temp_dir().join(format!("umbertray-demo-{}", std::process::id()));
    let options = umbertray_coordinator::CoordinatorOptions {
        listen: umbertray_fakes::fleet::any_port(),
        endpoint_list: fleet.list.address,
        folder: folder.clone(),
        takeover: umbertray_coordinator::Takeover::Never,
    };
    let keeper = umbertray_coordinator::start(options).await.map_err(|error| error.to_string())?;
    let mut gateways = Vec::new();
    for seed in 0..arguments.gateways {
        let mut document = document.clone();
        (document.endpoint_list, document.seed) = (fleet.list.address, seed.into());
        document.coordinator = Some(keeper.address);
        gateways.push(serve::start(document, None).await?);
    }
    let addresses: Vec<String> =
        gateways.iter().flat_map(|gateway| &gateway.addresses).map(ToString::to_string).collect();
    let exports: Vec<&String> = document.settings.volumes.iter().map(|volume| &volume.name).collect();
    output::print_line(
        &serde_json::json!({ "nbd": addresses, "exports": exports, "keeper": keeper.address.to_string() })
            .to_string(),
    );
    serve::told_to_stop().await?;
    let mut stopping = tokio::task::JoinSet::new();
    gateways.into_iter().for_each(|gateway| _ = stopping.spawn(gateway.stop()));
    while let Some(stopped) = stopping.join_next().await {
        stopped.map_err(|error| error.to_string())??;
    }
    drop(keeper);
    _ = std::fs::remove_dir_all(folder);
    Ok(())
}
