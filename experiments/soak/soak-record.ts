/**
What targets and callers saw in a soak, and what of it may not happen.
*/

type Kind = 'bid' | 'price' | 'extra' | 'question' | 'dossier';

/** What a caller got; `status` is 0 when no answer came. */
type Reply = {
	readonly requestId: string;
	readonly kind: Kind;
	readonly status: number;
	readonly isWhole: boolean;
	readonly body: string;
	/** True when the gateway was killed or ended by itself while the request was open. */
	readonly isGatewayGone: boolean;
};

/** Statuses that promise that a request has not run. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const resumable: ReadonlySet<Kind> = new Set(['question']);
const streams: ReadonlySet<Kind> = new Set(['question', 'dossier']);
const idempotent: ReadonlySet<Kind> = new Set(['price', 'extra']);

/**
One instance a soak.

@example
```
record.ran('bid-1', 'floor-2');
record.replied({requestId: 'bid-1', kind: 'bid', status: 200, isWhole: true, body: 'done bid-1', isGatewayGone: false});
record.problems(); // []
```
*/
export class SoakRecord {
	/** The whole answer to a plain call. */
	static plainBody(requestId: string): string {
		return `done ${requestId}`;
	}

	/** The events of the whole answer to a prompt. */
	static events(requestId: string): readonly string[] {
		const count = 3 + (Number(requestId.split('-').at(-1)) % 6);
		return Array.from({length: count}, (_, index) => `id: ${index + 1}\ndata: ${requestId} ${index + 1}\n\n`);
	}

	readonly #runs = new Map<string, string[]>();
	readonly #replies: Reply[] = [];
	readonly #others: string[] = [];

	/** Records that a target ran a request; of a stream, that it began or continued it. */
	ran(requestId: string, target: string): void {
		this.#runs.set(requestId, [...this.#runs.get(requestId) ?? [], target]);
	}

	replied(reply: Reply): void {
		this.#replies.push(reply);
	}

	/** Records what may not happen and is no matter of one request. */
	report(problem: string): void {
		this.#others.push(problem);
	}

	/** Replies by kind and status. */
	get summary(): string {
		const counts = new Map<string, number>();
		for (const {kind, status, isWhole} of this.#replies) {
			const name = `${kind} ${status}${isWhole ? '' : ' cut'}`;
			counts.set(name, (counts.get(name) ?? 0) + 1);
		}

		return [...counts].map(([name, count]) => `${name}: ${count}`).toSorted((first, second) => first.localeCompare(second)).join(', ');
	}

	/** One line for each thing that may not happen. */
	problems(): readonly string[] {
		return [...this.#others, ...this.#replies.flatMap(reply => this.#problemsOf(reply))];
	}

	#problemsOf(reply: Reply): readonly string[] {
		const {requestId, kind, status, isWhole, isGatewayGone} = reply;
		const runs = this.#runs.get(requestId) ?? [];
		const isOnce = kind === 'bid' || kind === 'dossier';
		const facts = `${requestId}, status ${status}, run at [${runs.join(', ')}]`;
		return [
			...isOnce && runs.length > 1 ? [`TWICE: ${facts}`] : [],
			...!idempotent.has(kind) && promises.has(status) && runs.length > 0 ? [`REFUSED: ${facts}`] : [],
			...status === 0 && runs.length > 0 && !isGatewayGone ? [`LOST: ${facts}`] : [],
			...status === 200 && isWhole ? this.#problemsOfBody(reply) : [],
			...status === 200 && !isWhole && !streams.has(kind) && !isGatewayGone ? [`LOST: ${facts}, cut`] : [],
			...status === 200 && !isWhole && streams.has(kind) ? this.#problemsOfPart(reply) : [],
			...resumable.has(kind) && runs.length > 2 ? [`BUDGET: ${facts}`] : [],
		];
	}

	#problemsOfBody({requestId, kind, body}: Reply): readonly string[] {
		const expected = streams.has(kind) ? SoakRecord.events(requestId).join('') : SoakRecord.plainBody(requestId);
		return body === expected ? [] : [`${streams.has(kind) ? 'ORDER' : 'MIXED'}: ${requestId} got ${JSON.stringify(body.slice(0, 400))} as a whole answer`];
	}

	/** What came of a stream that was broken off has to be its beginning. */
	#problemsOfPart({requestId, body}: Reply): readonly string[] {
		return SoakRecord.events(requestId).join('').startsWith(body) ? [] : [`ORDER: ${requestId} got ${JSON.stringify(body.slice(0, 400))} before it was broken off`];
	}
}
