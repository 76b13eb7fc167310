/**
Heartbeats and timeouts of links, the links that stay open without work, and the retry budget.
*/
import {test} from 'tap';
import {nextLinkAction} from '../../../source/decisions/links/next-link-action.js';
import {persistentLinkTargets} from '../../../source/decisions/links/persistent-link-targets.js';
import {RetryBudget} from '../../../source/decisions/request/retry-budget.js';
import {watchesConfiguration} from '../../../source/decisions/configuration/watches-configuration.js';

const times = {
	now: 10_000, lastSentAt: 9900, lastReceivedAt: 9900, lastUsedAt: 9900, keepOpen: true, busySince: 5000,
};

test('a busy link that receives nothing is replaced soon, an idle one later', async t => {
	t.equal(nextLinkAction(times), 'none');
	t.equal(nextLinkAction({...times, lastReceivedAt: 7000}), 'replace');
	t.equal(nextLinkAction({...times, lastReceivedAt: 7000, busySince: undefined}), 'none');
	t.equal(nextLinkAction({...times, lastReceivedAt: -500, busySince: undefined}), 'replace');
});

test('the receive timeout of a busy link starts when it becomes busy', async t => {
	t.equal(nextLinkAction({...times, lastReceivedAt: 6500, busySince: 9000}), 'none');
	t.equal(nextLinkAction({...times, lastReceivedAt: 6500, busySince: 7400}), 'replace');
});

test('a heartbeat is sent only when nothing else was sent for the interval', async t => {
	t.equal(nextLinkAction({...times, lastSentAt: 8900}), 'send heartbeat');
	t.equal(nextLinkAction({...times, lastSentAt: 8900, busySince: undefined}), 'none');
	t.equal(nextLinkAction({...times, lastSentAt: 5900, busySince: undefined}), 'send heartbeat');
});

test('an idle link closes unless it is kept open', async t => {
	const idle = {...times, busySince: undefined, lastUsedAt: -60_000};
	t.equal(nextLinkAction({...idle, keepOpen: false}), 'close idle');
	t.not(nextLinkAction(idle), 'close idle');
	t.not(nextLinkAction({...idle, keepOpen: false, busySince: 9000}), 'close idle');
});

test('with 370 gateways and 610 targets, every sidecar and every gateway keeps some links open, and none keeps many', async t => {
	const gateways = Array.from({length: 370}, (_, index) => `gateway-${index}`);
	const targets = Array.from({length: 610}, (_, index) => `target-${index}`);
	const linksPerTarget = new Map<string, number>(targets.map(target => [target, 0]));
	const linksPerGateway = gateways.map(gateway => {
		const persistent = persistentLinkTargets(gateway, gateways, targets);
		for (const target of persistent) {
			linksPerTarget.set(target, (linksPerTarget.get(target) ?? 0) + 1);
		}

		return persistent.size;
	});
	t.ok(Math.min(...linksPerTarget.values()) >= 3, `fewest at a sidecar: ${Math.min(...linksPerTarget.values())}`);
	t.ok(Math.min(...linksPerGateway) >= 2, `fewest at a gateway: ${Math.min(...linksPerGateway)}`);
	t.ok(Math.max(...linksPerGateway) < 40 && Math.max(...linksPerTarget.values()) < 40);
	t.equal(gateways.filter(gateway => watchesConfiguration(gateway, gateways)).length, 5);
});

test('retries stay within the budgeted share of requests', async t => {
	const budget = new RetryBudget(0.2);
	let retries = 0;
	for (let request = 0; request < 1000; request++) {
		budget.recordRequest();
		while (budget.allowsRetry) {
			budget.recordRetry();
			retries += 1;
		}
	}

	t.ok(retries <= 220 && retries >= 190, `${retries} retries`);
});
