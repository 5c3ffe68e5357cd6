package org.quetzalshunt.app.deployment;

import java.util.List;

/** Builds the service documents (YAML) of a deployment on loopback. */
final class DemoDocuments {
    private DemoDocuments() {}

    static String chatService(DeploymentPlan plan, DemoKeys keys) {
        return "service: " + Deployment.CHAT_SERVICE + "\nteam: " + DemoKeys.TEAM + "\nkind: engine\n"
                + accountsSection(plan, keys)
                + "limits: {requestDeadlineMillis: 30000, stallMillis: 3000, reservationTokens: 64}\n";
    }

    static String plainService(DeploymentPlan plan, DemoKeys keys) {
        return "service: " + Deployment.PLAIN_SERVICE + "\nteam: " + DemoKeys.TEAM + "\nkind: plain\n"
                + accountsSection(plan, keys)
                + "nonIdempotentCalls: [{method: POST, path: /orders}]\n"
                + "limits: {requestDeadlineMillis: 30000, stallMillis: 3000}\n";
    }

    private static String accountsSection(DeploymentPlan plan, DemoKeys keys) {
        StringBuilder text = new StringBuilder("accounts:\n");
        for (String account : DemoKeys.ACCOUNTS) {
            List<String> hashes = keys.activeKeyHashes(account);
            text.append("  - name: ").append(account).append('\n');
            text.append("    keyHashes: [").append(String.join(", ", hashes)).append("]\n");
            text.append("    requestsPerSecond: ")
                    .append(plan.requestsPerSecond())
                    .append('\n');
            text.append("    burst: ").append(plan.burst()).append('\n');
            text.append("    weight: 1\n");
        }
        return text.toString();
    }
}
