/**
The entry of a target in the list that the platform's store holds.
*/

type ListedTarget = {readonly address: string; readonly service: string};

/**
Returns the entry as the store holds it; `more` replaces and adds fields.

@example
```
store.put('servers/i-1', targetEntry({address: '127.0.0.1:7000', service: 'floor'}));
```
*/
export const targetEntry = ({address, service}: ListedTarget, more: Readonly<Record<string, unknown>> = {}): string => JSON.stringify({
	service, address, zone: 'zone-a', version: 'v1', slots: 8, state: 'ready', coldRemainingMs: 0, sequence: 1, born: 1000, ...more,
});
