/**
`npm run measure -- configuration`: time until a configuration is in force everywhere.

The processes' own modules run in this process on virtual time; frames are
encoded, so that bytes are real. Links are those that warm gateways keep.
*/
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {ConfigurationReplica} from '../source/configuration/configuration-replica.js';
import {watchesConfiguration} from '../source/decisions/configuration/watches-configuration.js';
import {persistentLinkTargets} from '../source/decisions/links/persistent-link-targets.js';
import type {Message} from '../source/generated/messages.js';
import {encodeMessage} from '../source/links/encode-message.js';
import {Metrics} from '../source/shared/metrics.js';

type Peer = {readonly send: (message: Message) => boolean};
type Node = {readonly keeper: ConfigurationReplica; readonly peers: Peer[]; bytes: number; inForceAt: number};

const seed = 20_261_204;
const sizes = [[1, 1], [3, 5], [12, 20], [38, 62], [370, 610]] as const;
const losses = [0, 0.2];
const exchangeMilliseconds = 2000;
const runMilliseconds = 60_000;
const idleMilliseconds = 30_000;

const document = `${'# padding so that the document has the size of a real one\n'.repeat(300)}[[services]]\nname = "floor"\nkind = "plain"\n`;
const record = (generation: number): string => JSON.stringify({
	generation, submissionId: `s${generation}`, author: 'a', submittedAt: '', document,
});

const run = (gateways: number, sidecars: number, loss: number, isStoreDown: boolean) => {
	const generator = xoroshiro128plus(seed);
	const random = (): number => uniformFloat64(generator);
	const events: Array<{readonly at: number; readonly act: () => void}> = [];
	let now = 0;
	const later = (milliseconds: number, act: () => void): void => {
		events.push({at: now + milliseconds, act});
	};

	const create = (): Node => {
		const node: Node = {
			peers: [], bytes: 0, inForceAt: -1, keeper: new ConfigurationReplica(new Metrics(undefined, 'measure'), (_document, {generation}) => {
				node.inForceAt = generation === 2 ? now : -1;
			}),
		};
		return node;
	};

	const gatewayNames = Array.from({length: gateways}, (_, index) => `gateway-${index}`);
	const sidecarNames = Array.from({length: sidecars}, (_, index) => `sidecar-${index}`);
	const nodes = new Map([...gatewayNames, ...sidecarNames].map(name => [name, create()]));
	const deliver = (to: Node, back: () => Peer, message: Message): void => {
		to.bytes += encodeMessage(message).byteLength;
		if (message.kind === 'configuration') {
			to.keeper.receive(message.document, 'peer', back());
		}

		if (message.kind === 'generation') {
			to.keeper.receiveGeneration(back(), message.generation);
		}
	};

	const connect = (first: Node, second: Node): void => {
		const peerOf = (from: Node, to: Node, back: () => Peer): Peer => ({
			send(message) {
				from.bytes += encodeMessage(message).byteLength;
				if (random() >= loss) {
					later(0.5 + random(), () => {
						deliver(to, back, message);
					});
				}

				return true;
			},
		});
		const forward: Peer = peerOf(first, second, () => backward);
		const backward: Peer = peerOf(second, first, () => forward);
		first.peers.push(forward);
		second.peers.push(backward);
		first.keeper.addPeer(forward, 1);
		second.keeper.addPeer(backward, 1);
	};

	const advance = (until: number): void => {
		for (;;) {
			events.sort((first, second) => second.at - first.at);
			const next = events.at(-1);
			if (next === undefined || next.at > until) {
				now = until;
				return;
			}

			events.pop();
			now = next.at;
			next.act();
		}
	};

	for (const node of nodes.values()) {
		node.keeper.receive(record(1), 'store');
	}

	for (const gateway of gatewayNames) {
		for (const target of persistentLinkTargets(gateway, gatewayNames, sidecarNames)) {
			connect(nodes.get(gateway)!, nodes.get(target)!);
		}
	}

	for (const node of nodes.values()) {
		const tick = (): void => {
			node.keeper.exchange(random);
			later(exchangeMilliseconds, tick);
		};

		later(random() * exchangeMilliseconds, tick);
	}

	advance(idleMilliseconds);
	const idleBytes = [...nodes.values()].map(({bytes}) => bytes / (idleMilliseconds / 1000));
	const acceptedAt = now;
	const watchers = gatewayNames.filter(name => watchesConfiguration(name, gatewayNames));
	// With the store down right after acceptance, only the gateway that took the submission knows.
	for (const name of isStoreDown ? gatewayNames.slice(0, 1) : watchers) {
		later(isStoreDown ? 0 : 1 + (random() * 5), () => {
			nodes.get(name)!.keeper.receive(record(2), 'store');
		});
	}

	advance(now + runMilliseconds);
	const times = [...nodes.values()].map(({inForceAt}) => inForceAt < 0 ? Number.POSITIVE_INFINITY : inForceAt - acceptedAt);
	const linkCounts = [...nodes.values()].map(({peers}) => peers.length);
	return {
		slowest: Math.max(...times), idleBytes: Math.max(...idleBytes), mostLinks: Math.max(...linkCounts), storeCalls: isStoreDown ? 1 : watchers.length + 1,
	};
};

/**
Prints a table by fleet size, message loss and state of the store.

@example
```
measureConfiguration();
```
*/
export const measureConfiguration = (): void => {
	console.log(`seed ${seed}, document of ${document.length} bytes, virtual time, links of 0.5 to 1.5 ms`);
	console.log('gateways + sidecars | message loss | store | in force everywhere after ms | store calls for the change | most links of a process | idle gossip bytes a second, most');
	for (const [gateways, sidecars] of sizes) {
		for (const loss of losses) {
			for (const isStoreDown of [false, true]) {
				const {slowest, idleBytes, mostLinks, storeCalls} = run(gateways, sidecars, loss, isStoreDown);
				console.log([`${gateways} + ${sidecars}`, loss, isStoreDown ? 'down after acceptance' : 'up', slowest.toFixed(0), storeCalls, mostLinks, idleBytes.toFixed(0)].join(' | '));
			}
		}
	}
};
