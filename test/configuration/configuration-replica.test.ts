/**
Tests that every process of a fleet adopts the accepted configuration, with lossy
links, concurrent submissions, restarts and lost answers from the store.
*/
import process from 'node:process';
import fc from 'fast-check';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {test} from 'tap';
import {ConfigurationReplica} from '../../source/configuration/configuration-replica.js';
import {configurationKey} from '../../source/configuration/configuration-key.js';
import {submitConfiguration} from '../../source/configuration/submit-configuration.js';
import type {Message} from '../../source/generated/messages.js';
import {Metrics} from '../../source/shared/metrics.js';
import {MemoryStore} from '../support/memory-store.js';

const seed = Number(process.env.SEED ?? 20_261_204);
const runCount = Number(process.env.RUNS ?? 100);
const document = (retryShare: number): string => `[[services]]\nname = "floor"\nkind = "plain"\nretryShare = ${retryShare}\n`;

type Node = {replica: ConfigurationReplica; readonly links: Map<number, {readonly send: (message: Message) => boolean}>; adopted: number[]};

/** Replicas connected in a ring with chords. Each message may be lost. */
class ReplicaFleet {
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
				this.nodes[neighbour]!.replica.removePeer(back);
			}
		}

		this.nodes[index] = this.#createNode();
		for (const neighbour of neighbours) {
			this.#connect(index, neighbour);
		}
	}

	exchange(): void {
		for (const {replica} of this.nodes) {
			replica.exchange(() => this.random());
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
		const replica = new ConfigurationReplica(new Metrics(undefined, 'test'), (_document, {generation}) => {
			adopted.push(generation);
		});
		return {replica, links: new Map(), adopted};
	}

	#connect(from: number, to: number): void {
		for (const [near, far] of [[from, to], [to, from]] as const) {
			const node = this.nodes[near]!;
			node.links.set(far, {send: message => this.#send(near, far, message)});
		}

		for (const [near, far] of [[from, to], [to, from]] as const) {
			this.nodes[near]!.replica.addPeer(this.nodes[near]!.links.get(far)!, this.nodes[far]!.replica.generation);
		}
	}

	#send(near: number, far: number, message: Message): boolean {
		if (this.random() < this.#lossShare) {
			// The message is lost on a broken link, which the sender cannot detect.
			return true;
		}

		this.#inFlight.push(() => {
			const {replica, links} = this.nodes[far]!;
			if (message.kind === 'configuration') {
				replica.receive(message.document, 'peer', links.get(near));
			}

			if (message.kind === 'generation') {
				replica.receiveGeneration(links.get(near)!, message.generation);
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

test('an accepted configuration comes into force in every process and never reverts', async t => {
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 3, maxLength: 30}), fc.integer(), async (steps, random) => {
		const fleet = new ReplicaFleet(8, random);
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
				throw new Error(`${winners.length} concurrent submissions were reported as accepted for generation ${basedOn + 1}`);
			}

			const stored = store.entries.get(configurationKey);
			accepted = stored === undefined ? 0 : (JSON.parse(stored.value) as {generation: number}).generation;
			if (winners.length === 1 && accepted !== basedOn + 1) {
				throw new Error('an accepted configuration is not in the store');
			}

			if (stored !== undefined) {
				fleet.nodes[0]!.replica.receive(stored.value, 'store');
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
		const newest = Math.max(...fleet.nodes.map(({replica}) => replica.generation));
		for (let round = 0; round < 40; round++) {
			fleet.exchange();
			fleet.deliver();
		}

		for (const {replica, adopted} of fleet.nodes) {
			if (replica.generation !== newest) {
				throw new Error(`generation ${replica.generation} in force although ${newest} is the newest`);
			}

			if (adopted.some((generation, index) => generation <= (adopted[index - 1] ?? 0))) {
				throw new Error(`adopted generations do not increase: ${adopted.join(', ')}`);
			}
		}
	}), {seed, numRuns: runCount});
	t.comment(`seed ${seed}, ${runCount} runs`);
});

test('an invalid or older record does not change the configuration in force', async t => {
	const adopted: number[] = [];
	const replica = new ConfigurationReplica(new Metrics(undefined, 'test'), (_document, {generation}) => {
		adopted.push(generation);
	});
	const record = (generation: number, submissionId: string): string => JSON.stringify({
		generation, submissionId, author: 'a', submittedAt: '', document: document(0.1),
	});
	replica.receive(record(2, 'two'), 'store');
	for (const text of ['', '{', 'null', '[]', record(1, 'one'), record(2, 'other'), '{"generation":9,"submissionId":"x","document":"services = 3"}']) {
		replica.receive(text, 'store');
	}

	t.same(adopted, [2]);
	t.equal(replica.generation, 2);
});

test('a record is not sent back to the peer that sent it; that peer receives only the generation', async t => {
	const replica = new ConfigurationReplica(new Metrics(undefined, 'test'), () => undefined);
	const sent: Message[] = [];
	const peer = {
		send(message: Message) {
			sent.push(message);
			return true;
		},
	};
	replica.addPeer(peer, 0);
	replica.receive(JSON.stringify({
		generation: 2, submissionId: 'two', author: 'a', submittedAt: '', document: document(0.1),
	}), 'peer', peer);
	t.same(sent, [{kind: 'generation', generation: 2}]);
});
