/**
The prefill time from which prompts are announced at once instead of with the next digest.
*/

/**
Time on an otherwise idle prefill engine, in milliseconds. A prompt whose prefill takes
at least this long is sent only after the engine's owner was asked, and the end of its
prefill is announced at once. Shorter ones are reported with the next digest.
*/
export const announcedPrefillMilliseconds = 20;
