/** The request and answer bodies of the OpenAI API's completions and chat completions, as far as elmline serves them. */
package org.elmline.daemon.openai;
