/**
How a request came to the gateway.
*/

/**
`at` is when the last bytes of its head came, in milliseconds on the gateway's monotonic clock.
*/
export type RequestArrival = {
	readonly at: number;
	/** True when its caller sent it before the request before it on the same connection was answered. */
	readonly isSentAhead: boolean;
};
