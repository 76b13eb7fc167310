/**
Configuration in force in a fleet of keepers joined by lossy links, with racing
operators, restarts and a store that goes away.
*/
import process from 'node:process';
import fc from 'fast-check';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {test} from 'tap';
import {ConfigurationKeeper} from '../../source/configuration/configuration-keeper.js';
import {configurationKey} from '../../source/configuration/configuration-key.js';
import {submitConfiguration} from '../../source/configuration/submit-configuration.js';
import type {Message} from '../../source/generated/messages.js';
import {Metrics} from '../../source/shared/metrics.js';
import {MemoryStore} from '../support/memory-store.js';

const seed = Number(process.env.SEED ?? 20_261_204);
const numberRuns = Number(process.env.RUNS ?? 100);
const document = (retryShare: number): string => `[[services]]\nname = "floor"\nkind = "plain"\nretryShare = ${retryShare}\n`;

type Node = {keeper: ConfigurationKeeper; readonly links: Map<number, {readonly send: (message: Message) => boolean}>; adopted: number[]};

/** Keepers on a ring with chords; each message may be lost. */
class KeeperFleet {
	readonly nodes: Node[];
	readonly #random: ReturnType<typeof xoroshiro128plus>;
	#inFlight: Array<() => void> = [];
	#lossShare = 0;

	constructor(count: number, random: number) {
		this.#random = xoroshiro128plus(random);
		this.nodes = Array.from({length: count}, () => this.#createNode());
		for (const [index] of this.nodes.entries()) {
			for (const step of [1, 3]) {
				this.#connect(index, (index + step) % count);
			}
		}
	}

	random(): number {
		return uniformFloat64(this.#random);
	}

	setLoss(share: number): void {
		this.#lossShare = share;
	}

	restart(index: number): void {
		const neighbours = [...this.nodes[index]!.links.keys()];
		for (const neighbour of neighbours) {
			const back = this.nodes[neighbour]!.links.get(index);
			if (back !== undefined) {
				this.nodes[neighbour]!.keeper.leave(back);
			}
		}

		this.nodes[index] = this.#createNode();
		for (const neighbour of neighbours) {
			this.#connect(index, neighbour);
		}
	}

	exchange(): void {
		for (const {keeper} of this.nodes) {
			keeper.exchange(() => this.random());
		}
	}

	deliver(): void {
		for (let round = 0; round < 30 && this.#inFlight.length > 0; round++) {
			const due = this.#inFlight;
			this.#inFlight = [];
			for (const run of due) {
				run();
			}
		}
	}

	#createNode(): Node {
		const adopted: number[] = [];
		const keeper = new ConfigurationKeeper(new Metrics(undefined, 'test'), (_document, {generation}) => {
			adopted.push(generation);
		});
		return {keeper, links: new Map(), adopted};
	}

	#connect(from: number, to: number): void {
		for (const [near, far] of [[from, to], [to, from]] as const) {
			const node = this.nodes[near]!;
			node.links.set(far, {send: message => this.#send(near, far, message)});
		}

		for (const [near, far] of [[from, to], [to, from]] as const) {
			this.nodes[near]!.keeper.join(this.nodes[near]!.links.get(far)!, this.nodes[far]!.keeper.generation);
		}
	}

	#send(near: number, far: number, message: Message): boolean {
		if (this.random() < this.#lossShare) {
			// Lost on a link that has silently died; the sender cannot know.
			return true;
		}

		this.#inFlight.push(() => {
			const {keeper, links} = this.nodes[far]!;
			if (message.kind === 'configuration') {
				keeper.hear(message.document, 'peer', links.get(near));
			}

			if (message.kind === 'generation') {
				keeper.peerHas(links.get(near)!, message.generation);
			}
		});
		return true;
	}
}

const step = fc.oneof(
	{weight: 4, arbitrary: fc.record({kind: fc.constant('submit' as const), writers: fc.integer({min: 1, max: 3})})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('exchange' as const)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('restart' as const), node: fc.nat(7)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('loss' as const), share: fc.constantFrom(0, 0.3, 0.9)})},
);

test('what is accepted comes into force everywhere and never reverts', async t => {
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 3, maxLength: 30}), fc.integer(), async (steps, random) => {
		const fleet = new KeeperFleet(8, random);
		const store = new MemoryStore(() => fleet.random() < 0.2 ? 'answer lost' : 'none');
		let accepted = 0;
		let submission = 0;
		const submit = async (writers: number): Promise<void> => {
			const basedOn = accepted;
			const results = await Promise.all(Array.from({length: writers}, async () => {
				submission += 1;
				return submitConfiguration(store, {
					document: document(fleet.random()), author: 'test', basedOn, submissionId: String(submission),
				}, async () => undefined);
			}));
			const winners = results.filter(result => result.isOk());
			if (winners.length > 1) {
				throw new Error(`${winners.length} racing operators were told that they won generation ${basedOn + 1}`);
			}

			const stored = store.entries.get(configurationKey);
			accepted = stored === undefined ? 0 : (JSON.parse(stored.value) as {generation: number}).generation;
			if (winners.length === 1 && accepted !== basedOn + 1) {
				throw new Error('an accepted configuration is not in the store');
			}

			if (stored !== undefined) {
				fleet.nodes[0]!.keeper.hear(stored.value, 'store');
			}
		};

		for (const next of steps) {
			switch (next.kind) {
				case 'submit': {
					await submit(next.writers); // eslint-disable-line no-await-in-loop
					break;
				}

				case 'exchange': {
					fleet.exchange();
					break;
				}

				case 'restart': {
					fleet.restart(next.node);
					break;
				}

				case 'loss': {
					fleet.setLoss(next.share);
					break;
				}
			}

			fleet.deliver();
		}

		fleet.setLoss(0);
		const newest = Math.max(...fleet.nodes.map(({keeper}) => keeper.generation));
		for (let round = 0; round < 40; round++) {
			fleet.exchange();
			fleet.deliver();
		}

		for (const {keeper, adopted} of fleet.nodes) {
			if (keeper.generation !== newest) {
				throw new Error(`generation ${keeper.generation} in force where ${newest} is newest`);
			}

			if (adopted.some((generation, index) => generation <= (adopted[index - 1] ?? 0))) {
				throw new Error(`adopted ${adopted.join(', ')}`);
			}
		}
	}), {seed, numRuns: numberRuns});
	t.comment(`seed ${seed}, ${numberRuns} runs`);
});

test('a corrupt or older record changes nothing', async t => {
	const adopted: number[] = [];
	const keeper = new ConfigurationKeeper(new Metrics(undefined, 'test'), (_document, {generation}) => {
		adopted.push(generation);
	});
	const record = (generation: number, submissionId: string): string => JSON.stringify({
		generation, submissionId, author: 'a', submittedAt: '', document: document(0.1),
	});
	keeper.hear(record(2, 'two'), 'store');
	for (const text of ['', '{', 'null', '[]', record(1, 'one'), record(2, 'other'), '{"generation":9,"submissionId":"x","document":"services = 3"}']) {
		keeper.hear(text, 'store');
	}

	t.same(adopted, [2]);
	t.equal(keeper.generation, 2);
});

test('a record is not sent back to the peer that it came from, which hears the generation', async t => {
	const keeper = new ConfigurationKeeper(new Metrics(undefined, 'test'), () => undefined);
	const sent: Message[] = [];
	const peer = {
		send(message: Message) {
			sent.push(message);
			return true;
		},
	};
	keeper.join(peer, 0);
	keeper.hear(JSON.stringify({
		generation: 2, submissionId: 'two', author: 'a', submittedAt: '', document: document(0.1),
	}), 'peer', peer);
	t.same(sent, [{kind: 'generation', generation: 2}]);
});
