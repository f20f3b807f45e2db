package org.elmline.core.engine;

import org.elmline.core.common.Address;

/** A plug-in for one kind of engine, registered by {@link java.util.ServiceLoader}. */
public interface EngineProtocol {
    /** The protocol name that a backend server of this kind announces. */
    String name();

    EngineClient connect(Address engine);
}
