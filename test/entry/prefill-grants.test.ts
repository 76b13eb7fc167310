/**
Grants for long prefills while two gateways send to the same engine.

Without grants both gateways see the engine idle and send it a prompt each, so its
backlog exceeds the limit.
*/
import {test, type Test} from 'tap';
import type {PlatformTargetStandIn} from '../../stand-ins/platform-target-stand-in.js';
import {answerAsEngine} from '../support/answer-as-engine.js';
import {EntryFleet} from '../support/entry-fleet.js';

const prompt = {'x-model': 'm', 'x-token-count': '17000,50', 'x-prompt-prefix': 'aa:13300,bb:3700'};
const engine = {
	slots: 64, kvCapacityTokens: 400_000, kvBytes: 1000, linkMbps: 100_000, handleTtlS: 5, roleSwitchS: 3,
};

/** Makes a target hold its answers. The returned function releases them, and later requests are answered at once. */
const holdAnswers = (target: PlatformTargetStandIn): (() => void) => {
	const held: Array<() => void> = [];
	let isHolding = true;
	target.answer = (response, arrival, count) => {
		const answer = (): void => {
			answerAsEngine(response, arrival, count);
		};

		if (isHolding) {
			held.push(answer);
		} else {
			answer();
		}
	};

	return () => {
		isHolding = false;
		for (const answer of held) {
			answer();
		}
	};
};

const start = async (t: Test) => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([{
		name: 'dossiers', pathPrefix: '/dossiers/', routeType: 'streaming', service: 'models', sessionAffinity: true, itlTargetMs: 300, targetLatencyMs: 1500, timeoutMs: 20_000,
	}], [{name: 'models', engine}]);
	const prefillEngine = await fleet.addTarget('i-1', 'models', {phase: 'prefill', slots: 64});
	const decodeEngine = await fleet.addTarget('i-2', 'models', {phase: 'decode', slots: 64});
	const first = await fleet.addGateway();
	const second = await fleet.addGateway({peerSeeds: [`${first.settings.listen.peers!.host}:${first.settings.listen.peers!.port}`]});
	await fleet.until(() => fleet.logged('peer found').length >= 2);
	return {
		fleet, reader: prefillEngine, maker: decodeEngine, gateways: [first, second],
	};
};

test('prompts that reach two gateways at once are not both sent to an engine that has capacity for one', async t => {
	const {fleet, reader: prefillEngine, maker: decodeEngine, gateways} = await start(t);
	const releases = [holdAnswers(prefillEngine), holdAnswers(decodeEngine)];
	const replies = gateways.flatMap((gateway, index) => [0, 1].map(async each => fleet.ask(gateway, {path: '/dossiers/1', requestId: `r${index}-${each}`, headers: prompt})));
	await fleet.until(() => prefillEngine.arrivals.length > 0 && decodeEngine.arrivals.length > 0);
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	t.equal(prefillEngine.arrivals.length, 1);
	for (const release of releases) {
		release();
	}

	const answered = await Promise.all(replies);
	t.ok(answered.every(({status, isWhole}) => status === 200 && isWhole), 'all prompts are served eventually');
});

test('a prompt does not wait for a gateway that is gone', async t => {
	const {fleet, gateways: [first, second]} = await start(t);
	await second!.gateway.stop();
	const replies = await Promise.all(['g1', 'g2', 'g3'].map(async requestId => fleet.ask(first!, {path: '/dossiers/1', requestId, headers: prompt})));
	t.ok(replies.every(({status}) => status === 200 || status === 503), 'each prompt gets an answer');
});
