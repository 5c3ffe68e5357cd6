package org.quetzalshunt.core.document;

import java.util.List;

/**
 * A client account of one service.
 *
 * @param name name of the account, a tenant whose callers authenticate with one of its keys
 * @param keyHashes lower-case hex SHA-256 of each valid key; more than one during a key rotation
 * @param requestsPerSecond sustained rate limit over the whole deployment
 * @param burst requests allowed at once after an idle period, over the whole deployment
 * @param weight relative share when accounts compete for capacity
 */
public record ClientAccount(
        String name, List<String> keyHashes, double requestsPerSecond, double burst, double weight) {}
