/**
Health of links, who keeps them warm, and the retry budget.
*/
import {test} from 'tap';
import {linkHealth} from '../../../source/decisions/links/link-health.js';
import {warmTargets} from '../../../source/decisions/links/warm-targets.js';
import {RetryBudget} from '../../../source/decisions/request/retry-budget.js';
import {isWatcher} from '../../../source/decisions/configuration/is-watcher.js';

const times = {
	now: 10_000, lastSentAt: 9900, lastReceivedAt: 9900, lastUsedAt: 9900, keepOpen: true, busySince: 5000,
};

test('silence condemns a busy link soon, and an idle one later', async t => {
	t.equal(linkHealth(times), 'none');
	t.equal(linkHealth({...times, lastReceivedAt: 7000}), 'replace');
	t.equal(linkHealth({...times, lastReceivedAt: 7000, busySince: undefined}), 'none');
	t.equal(linkHealth({...times, lastReceivedAt: -500, busySince: undefined}), 'replace');
});

test('a link that has just become busy is given its time', async t => {
	t.equal(linkHealth({...times, lastReceivedAt: 6500, busySince: 9000}), 'none');
	t.equal(linkHealth({...times, lastReceivedAt: 6500, busySince: 7400}), 'replace');
});

test('traffic counts as heartbeat', async t => {
	t.equal(linkHealth({...times, lastSentAt: 8900}), 'send heartbeat');
	t.equal(linkHealth({...times, lastSentAt: 8900, busySince: undefined}), 'none');
	t.equal(linkHealth({...times, lastSentAt: 5900, busySince: undefined}), 'send heartbeat');
});

test('an idle link closes unless it is kept open', async t => {
	const idle = {...times, busySince: undefined, lastUsedAt: -60_000};
	t.equal(linkHealth({...idle, keepOpen: false}), 'close idle');
	t.not(linkHealth(idle), 'close idle');
	t.not(linkHealth({...idle, keepOpen: false, busySince: 9000}), 'close idle');
});

test('every sidecar and every gateway has links at the size to come, and none has many', async t => {
	const gateways = Array.from({length: 370}, (_, index) => `gateway-${index}`);
	const targets = Array.from({length: 610}, (_, index) => `target-${index}`);
	const linksOf = new Map<string, number>(targets.map(target => [target, 0]));
	const held = gateways.map(gateway => {
		const warm = warmTargets(gateway, gateways, targets);
		for (const target of warm) {
			linksOf.set(target, (linksOf.get(target) ?? 0) + 1);
		}

		return warm.size;
	});
	t.ok(Math.min(...linksOf.values()) >= 3, `fewest at a sidecar: ${Math.min(...linksOf.values())}`);
	t.ok(Math.min(...held) >= 2, `fewest at a gateway: ${Math.min(...held)}`);
	t.ok(Math.max(...held) < 40 && Math.max(...linksOf.values()) < 40);
	t.equal(gateways.filter(gateway => isWatcher(gateway, gateways)).length, 5);
});

test('retries stay within their share of requests', async t => {
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
