package org.quetzalshunt.server.settings;

import picocli.CommandLine.Option;

/** Options common to entries and sidecars. */
final class ProcessOptions {
    static final String SECRET_FLAG = "--secret";

    @Option(
            names = "--vm",
            required = true,
            defaultValue = "${env:QUETZALSHUNT_VM}",
            description = "name of this VM in the platform's list ($QUETZALSHUNT_VM)")
    String vm;

    @Option(
            names = "--data-centre",
            required = true,
            defaultValue = "${env:QUETZALSHUNT_DATA_CENTRE}",
            description = "data centre of this VM ($QUETZALSHUNT_DATA_CENTRE)")
    String dataCentre;

    @Option(
            names = "--host",
            defaultValue = "${env:QUETZALSHUNT_HOST:-127.0.0.1}",
            description = "IP address to listen on ($QUETZALSHUNT_HOST, default: 127.0.0.1)")
    String host;

    @Option(
            names = "--http-port",
            defaultValue = "${env:QUETZALSHUNT_HTTP_PORT:-0}",
            description = "HTTP port; 0 for any free port ($QUETZALSHUNT_HTTP_PORT, default: 0)")
    int httpPort;

    @Option(
            names = "--link-port",
            defaultValue = "${env:QUETZALSHUNT_LINK_PORT:-0}",
            description = "port for links between processes; 0 for any free port ($QUETZALSHUNT_LINK_PORT, default: 0)")
    int linkPort;

    @Option(
            names = "--platform",
            required = true,
            defaultValue = "${env:QUETZALSHUNT_PLATFORM}",
            description = "address of the platform's services, as IP:port ($QUETZALSHUNT_PLATFORM)")
    String platform;

    @Option(
            names = SECRET_FLAG,
            required = true,
            defaultValue = "${env:QUETZALSHUNT_SECRET}",
            description = "secret shared by all processes of the deployment; preferably set in $QUETZALSHUNT_SECRET")
    String secret;

    @Option(
            names = "--stop-millis",
            defaultValue = "${env:QUETZALSHUNT_STOP_MILLIS:-30000}",
            description = "maximum duration of a planned stop ($QUETZALSHUNT_STOP_MILLIS, default: 30000)")
    long stopMillis;

    @Option(names = "--print-settings", description = "print the effective settings with their origin, and exit")
    boolean printSettings;
}
