/**
Identifiers of the processes that count. A gateway that starts again counts anew.
*/

/**
Puts the name of a gateway and the incarnation of its process into one word, and takes the name out again.

@example
```
counterId.gatewayOf(counterId.of('gateway-1', '5f2c')); // 'gateway-1'
```
*/
export const counterId = {
	of: (gateway: string, incarnation: string): string => `${gateway} ${incarnation}`,
	gatewayOf: (counter: string): string => counter.slice(0, Math.max(0, counter.lastIndexOf(' '))),
} as const;
