/**
Routes, services and requests of a small deployment, with the figures of cvte-veneer.
*/

/** Time in milliseconds after which a gateway that has run undisturbed is in touch: `contactMs` and a little. */
export const calmMilliseconds = 4000;

export const routes = {
	bidPlace: {
		name: 'bid-place', pathPrefix: '/bids/', routeType: 'non_idempotent', service: 'auction-floor', timeoutMs: 800, targetLatencyMs: 121, priority: 2,
	},
	priceCheck: {
		name: 'price-check', pathPrefix: '/prices/', routeType: 'idempotent', service: 'price-list', timeoutMs: 800, targetLatencyMs: 121, priority: 2, maxAttempts: 2,
	},
	lotDossier: {
		name: 'lot-dossier', pathPrefix: '/dossiers/', routeType: 'streaming', service: 'appraiser-models', timeoutMs: 6000, targetLatencyMs: 800, itlTargetMs: 300, priority: 1, sessionAffinity: true,
	},
	leafQuery: {
		name: 'leaf-query',
		pathPrefix: '/leaves/',
		routeType: 'streaming',
		service: 'appraiser-models',
		timeoutMs: 4000,
		targetLatencyMs: 400,
		itlTargetMs: 300,
		priority: 0,
		sessionAffinity: true,
		resumable: true,
		maxAttempts: 2,
	},
};

export const services = {
	auctionFloor: {name: 'auction-floor', maxConnections: 110},
	priceList: {name: 'price-list', maxConnections: 110},
	appraiserModels: {
		name: 'appraiser-models', maxConnections: 370, engine: {
			slots: 64, kvCapacityTokens: 435_004, kvBytes: 35_136, linkMbps: 270_000, handleTtlS: 5, roleSwitchS: 3,
		},
	},
};

export const questions = {
	bid: {path: '/bids/1', body: 'bid', deadlineMilliseconds: 1500},
	price: {path: '/prices/1', method: 'GET', deadlineMilliseconds: 1500},
	dossier: {
		path: '/dossiers/1', body: 'dossier', deadlineMilliseconds: 6000, headers: {'x-model': 'm', 'x-token-count': '17020,17', 'x-prompt-prefix': '5c1e07a2:13300,e4402b7d:3720'},
	},
	leaf: {
		path: '/leaves/1', body: 'question', deadlineMilliseconds: 4000, headers: {'x-model': 'm', 'x-token-count': '383,6', 'x-prompt-prefix': '5c1e07a2:55,91bd3f06:37,e4402b7d:291'},
	},
};

/** A model replica. `entry` has the fields of its entry in the list that differ. */
export const engine = (id, run, entry = {}) => ({
	id, service: 'appraiser-models', entry: {phase: 'decode', models: [{name: 'm', version: 1, adapters: []}], ...entry}, run,
});
