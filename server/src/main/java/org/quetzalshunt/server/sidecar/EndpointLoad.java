package org.quetzalshunt.server.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.core.attempt.ModelVersion;

/**
 * What an endpoint says of its load.
 *
 * @param running requests in the batch
 * @param waiting requests before it
 * @param slots requests that the batch can hold; 0 when not known
 * @param cachedTokens tokens in the prefix cache
 * @param cacheCapacityTokens tokens that fit there
 * @param tokensPerSecond speed of decoding, all requests together
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

    static EndpointLoad read(JsonNode load) {
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
