package org.quetzalshunt.server.gateway;

import org.quetzalshunt.core.store.MapEntry;

/** Passes the records of the fleet to the components that use them. */
record FleetEvents(QuotaManager quotas, PeerConnections links, CrashReporter crashes)
        implements FleetFollower.Listener {
    @Override
    public void onFleetRead() {
        quotas.onFleetRead();
    }

    @Override
    public void onSecret(byte[] secret) {
        links.start(secret);
    }

    @Override
    public void onCrashReport(MapEntry entry) {
        crashes.onCrashReport(entry);
    }
}
