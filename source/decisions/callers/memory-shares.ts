/**
Divides the memory of the VM between what the gateway holds for callers and for targets.

The load that it addresses: each request is within its limits, and all of them together are not.
*/

type MemoryShares = {
	/** Bytes that all callers together may make the gateway hold: requests, and answers that they have not read. */
	readonly callerBytes: number;
	/** Bytes of the heap that the heads of requests in progress may take. */
	readonly headBytes: number;
	/** Bytes of answers of targets that are held until they are whole. */
	readonly answerBytes: number;
	/** Bytes of requests that one target may hold. */
	readonly targetBytes: number;
	/** Connections of callers. */
	readonly connections: number;
};

type Resources = {
	readonly memoryMegabytes: number | undefined;
	readonly descriptors: number | undefined;
	/** Upper bound of V8's heap; for the smallest gateway when left out. */
	readonly heapBytes?: number;
};

const bytesPerMegabyte = 1_048_576;
/** Memory of the process itself, with its heap as in ordinary service. */
const ownMegabytes = 100;
/** Buffers outside the heap that V8 lets pile up before it collects them. */
const uncollectedMegabytes = 64;
/** Share of the rest that callers may use; the other part is for answers of targets. */
const callerShare = 2 / 3;
/** Share of the heap that heads may take; the rest is for what the gateway itself knows, and for garbage. */
const headShare = 0.25;
/** Room for a request of 4 MB, and for small ones beside it. */
const minCallerBytes = 8 * bytesPerMegabyte;
const minAnswerBytes = 4 * bytesPerMegabyte;
const maxAnswerBytes = 64 * bytesPerMegabyte;
/** Share of the descriptors that callers' connections may use; the rest is for targets, peers, the store and operators. */
const connectionShare = 0.6;
/** Share of what callers may hold that may be held for one target. */
const targetShare = 0.5;

/** Resources of the smallest gateway VM, for settings that do not name them. */
const defaultMegabytes = 210;
const defaultDescriptors = 2212;
const defaultHeapBytes = 128 * bytesPerMegabyte;

/**
Divides what the process itself does not need.

@example
```
memoryShares({memoryMegabytes: 350, descriptors: 4100}).callerBytes; // 130,023,424
```
*/
export const memoryShares = ({memoryMegabytes = defaultMegabytes, descriptors = defaultDescriptors, heapBytes = defaultHeapBytes}: Partial<Resources> = {}): MemoryShares => {
	const freeBytes = Math.max(0, memoryMegabytes - ownMegabytes - uncollectedMegabytes) * bytesPerMegabyte;
	const callerBytes = Math.max(minCallerBytes, Math.floor(freeBytes * callerShare));
	return {
		callerBytes,
		headBytes: Math.floor(heapBytes * headShare),
		answerBytes: Math.min(maxAnswerBytes, Math.max(minAnswerBytes, Math.floor(freeBytes * (1 - callerShare)))),
		targetBytes: callerBytes * targetShare,
		connections: Math.max(1, Math.floor(descriptors * connectionShare)),
	};
};
