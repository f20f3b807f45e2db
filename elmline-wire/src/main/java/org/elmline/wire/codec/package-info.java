/** Encodes typed messages as bytes: MessagePack between elmline processes, JSON for all other programs. */
package org.elmline.wire.codec;
