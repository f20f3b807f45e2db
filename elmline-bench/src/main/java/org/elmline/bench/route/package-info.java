/** Cost of an owner's and a gateway's decisions in time, memory and bytes on the wire. */
package org.elmline.bench.route;
