package org.quetzalshunt.server.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.core.attempt.ModelVersion;

/**
 * Load reported by an endpoint.
 *
 * @param running requests in the current batch
 * @param waiting requests queued for the batch
 * @param slots requests that fit in the batch; 0 when unknown
 * @param cachedTokens tokens in the prefix cache
 * @param cacheCapacityTokens capacity of the prefix cache in tokens
 * @param tokensPerSecond decoding speed over all requests together
 * @param models loaded models
 */
record EndpointLoad(
        int running,
        int waiting,
        int slots,
        long cachedTokens,
        long cacheCapacityTokens,
        long tokensPerSecond,
        List<ModelVersion> models) {
    static final EndpointLoad UNKNOWN = new EndpointLoad(0, 0, 0, 0, 0, 0, List.of());

    static EndpointLoad parse(JsonNode load) {
        return new EndpointLoad(
                load.path("running").asInt(),
                load.path("waiting").asInt(),
                load.path("slots").asInt(),
                load.path("cachedTokens").asLong(),
                load.path("cacheCapacityTokens").asLong(),
                load.path("tokensPerSecond").asLong(),
                models(load.path("models")));
    }

    private static List<ModelVersion> models(JsonNode models) {
        List<ModelVersion> loaded = new ArrayList<>();
        for (JsonNode model : models) {
            loaded.add(new ModelVersion(
                    model.path("model").asText(), model.path("version").asText()));
        }
        return List.copyOf(loaded);
    }
}
