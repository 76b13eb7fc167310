/**
Reading that is long enough to be told at once.
*/

/**
Time on an idle prefill engine, in milliseconds, from which a prompt's reading is
asked for before it is sent, and its end told; shorter ones wait for the next digest.
*/
export const toldReadMilliseconds = 20;
