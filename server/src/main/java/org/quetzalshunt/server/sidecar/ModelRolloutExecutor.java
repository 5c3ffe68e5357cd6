package org.quetzalshunt.server.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quetzalshunt.core.attempt.EngineOrderState;
import org.quetzalshunt.core.attempt.ModelRollout;
import org.quetzalshunt.core.attempt.ModelVersion;
import org.quetzalshunt.core.attempt.RolloutOutput;
import org.quetzalshunt.core.attempt.RolloutStagger;
import org.quetzalshunt.core.attempt.RolloutStatus;
import org.quetzalshunt.core.attempt.WeightsAnswer;
import org.quetzalshunt.server.http.HttpClient;
import org.quetzalshunt.wire.json.Json;

/**
 * Executes the steps of a model rollout: sends load and unload orders to the engine, and asks the weight store whether
 * the weights of a version are available.
 */
final class ModelRolloutExecutor {
    private static final byte[] NO_BODY = {};
    private static final String ORDERS_PATH = "/engine/orders";
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The weight store answers once it has fetched a version, which takes tens of seconds for a large one. */
    private static final long WEIGHTS_TIMEOUT_MILLIS = 120_000;

    private final SidecarSettings settings;
    private final LongSupplier clock;
    private final HttpClient client;
    private final ModelRollout rollout;

    private ModelRolloutExecutor(EventLoopGroup group, SidecarSettings settings, LongSupplier clock) {
        this.settings = settings;
        this.clock = clock;
        this.client = HttpClient.create(group);
        this.rollout = ModelRollout.create(this::perform, clock.getAsLong());
    }

    static ModelRolloutExecutor create(EventLoopGroup group, SidecarSettings settings, LongSupplier clock) {
        return new ModelRolloutExecutor(group, settings, clock);
    }

    void setTarget(long version, List<String> names, boolean engineChecksFencing) {
        List<ModelVersion> models = new ArrayList<>();
        names.forEach(name -> ModelVersion.parse(name).ifPresent(models::add));
        long delayMillis = RolloutStagger.delayMillis(
                settings.id().name(), version, settings.times().rolloutWindowMillis());
        rollout.updateTarget(version, models, engineChecksFencing, delayMillis, clock.getAsLong());
    }

    void onLoad(EndpointLoad load) {
        rollout.onLoaded(load.models(), clock.getAsLong());
    }

    void tick() {
        rollout.tick(clock.getAsLong());
    }

    RolloutStatus status() {
        return rollout.status();
    }

    private void perform(RolloutOutput output) {
        if (output instanceof RolloutOutput.FetchWeights fetch) {
            fetchWeights(fetch.model());
        } else if (output instanceof RolloutOutput.SendOrder order) {
            byte[] body = Json.bytes(orderBody(order));
            send(
                    settings.endpoint(),
                    "POST",
                    ORDERS_PATH,
                    body,
                    orderTimeoutMillis(),
                    answer -> onOrderState(parseAcceptance(answer)));
        } else if (output instanceof RolloutOutput.QueryOrder ask) {
            String path = ORDERS_PATH + "/" + PathSegments.encode(ask.order());
            send(
                    settings.endpoint(),
                    "GET",
                    path,
                    NO_BODY,
                    orderTimeoutMillis(),
                    answer -> onOrderState(parseOrderState(answer)));
        }
    }

    private void fetchWeights(ModelVersion model) {
        Optional<InetSocketAddress> platform = settings.platform();
        if (platform.isEmpty()) {
            rollout.onWeights(new WeightsAnswer.Ready(), clock.getAsLong());
            return;
        }
        String path = "/weights/" + PathSegments.encode(model.model()) + "/" + PathSegments.encode(model.version());
        send(
                platform.get(),
                "GET",
                path,
                NO_BODY,
                WEIGHTS_TIMEOUT_MILLIS,
                answer -> rollout.onWeights(parseWeightsAnswer(answer), clock.getAsLong()));
    }

    private void onOrderState(EngineOrderState answer) {
        rollout.onOrder(answer, clock.getAsLong());
    }

    private long orderTimeoutMillis() {
        return settings.times().pollTimeoutMillis();
    }

    private void send(
            InetSocketAddress address,
            String method,
            String path,
            byte[] body,
            long timeoutMillis,
            Consumer<Optional<BufferedResponse>> receiver) {
        Map<String, String> headers = Map.of("content-type", "application/json");
        client.send(address, method, path, headers, body, timeoutMillis, BufferedResponse.collect(receiver));
    }

    private static ObjectNode orderBody(RolloutOutput.SendOrder order) {
        return Json.object()
                .put("order", order.load() ? "load" : "unload")
                .put("model", order.model().model())
                .put("version", order.model().version())
                .put("fencingToken", order.fencingToken());
    }

    private static EngineOrderState parseAcceptance(Optional<BufferedResponse> answer) {
        if (answer.isPresent() && answer.get().status() == STATUS_CONFLICT) {
            return new EngineOrderState.Fenced();
        }
        Optional<String> order = answer.flatMap(BufferedResponse::json)
                .map(json -> json.path("order"))
                .filter(JsonNode::isTextual)
                .map(JsonNode::asText);
        if (order.isPresent()) {
            return new EngineOrderState.Accepted(order.get());
        }
        boolean refused = answer.isPresent() && !answer.get().isSuccess();
        return refused ? new EngineOrderState.Failed() : new EngineOrderState.Unknown();
    }

    private static EngineOrderState parseOrderState(Optional<BufferedResponse> answer) {
        String state = answer.flatMap(BufferedResponse::json)
                .map(json -> json.path("state").asText())
                .orElse("");
        return switch (state) {
            case "running" -> new EngineOrderState.Running();
            case "done" -> new EngineOrderState.Done();
            case "failed" -> new EngineOrderState.Failed();
            default -> new EngineOrderState.Unknown();
        };
    }

    private static WeightsAnswer parseWeightsAnswer(Optional<BufferedResponse> answer) {
        if (answer.isEmpty()) {
            return new WeightsAnswer.Unknown();
        }
        BufferedResponse response = answer.get();
        if (response.status() == STATUS_NOT_FOUND) {
            return new WeightsAnswer.Missing();
        }
        if (response.status() == STATUS_TOO_MANY_REQUESTS) {
            return new WeightsAnswer.RateLimited(response.retryAfterSeconds().orElse(1) * MILLIS_PER_SECOND);
        }
        return response.isSuccess() ? new WeightsAnswer.Ready() : new WeightsAnswer.Unknown();
    }
}
