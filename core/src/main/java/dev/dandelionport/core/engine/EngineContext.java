package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.InstanceList;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.PeerClient;
import dev.dandelionport.core.port.Timer;
import dev.dandelionport.core.port.Tracing;
import dev.dandelionport.core.port.WorkerClient;
import java.util.function.Consumer;

/**
 * External dependencies of an engine.
 *
 * @param self this instance
 * @param store the platform's store
 * @param workers the platform's workers
 * @param instanceList the platform's instance list
 * @param peers the other instances
 * @param time clocks
 * @param timer schedules delayed actions
 * @param observer receives the engine's events; must return quickly and not call the engine
 * @param tracing records spans
 */
public record EngineContext(
    InstanceInfo self,
    KeyValueStore store,
    WorkerClient workers,
    InstanceList instanceList,
    PeerClient peers,
    TimeSource time,
    Timer timer,
    Consumer<EngineEvent> observer,
    Tracing tracing) {}
