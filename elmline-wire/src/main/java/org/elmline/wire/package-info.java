/** MessagePack framing over TCP and JSON adapters. */
package org.elmline.wire;
