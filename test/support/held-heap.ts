/**
Measures how much of the heap something keeps.
*/
import process from 'node:process';
import v8 from 'node:v8';
import vm from 'node:vm';

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

const usedBytes = (): number => {
	collectGarbage();
	return process.memoryUsage().heapUsed;
};

/**
Returns the bytes of the heap that are in use after `create` beyond those before, while what it returned is still referred to.

@example
```
heldHeap(() => new Set(ids)) < 100_000;
```
*/
export const heldHeap = (create: () => unknown): number => {
	const before = usedBytes();
	const held = [create()];
	const after = usedBytes();
	held.pop();
	return after - before;
};
