/** Load tool and policy experiments. */
package org.elmline.bench;
