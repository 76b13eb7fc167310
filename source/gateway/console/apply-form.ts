/**
Turns a submitted form of the console into a configuration document.
*/
import * as option from 'fp-ts/lib/Option.js';
import {err, ok, type Result} from 'neverthrow';
import {stringify} from 'smol-toml';
import {parseDocument} from '../../configuration/parse-document.js';
import type {AcceptedConfiguration} from '../../decisions/configuration/accepted-configuration.js';
import type {Configuration, RequestClass, ServiceConfiguration} from '../../generated/configuration.js';

type Fields = Readonly<Record<string, string>>;

const numberField = (fields: Fields, name: string, current: number | undefined): number | undefined => {
	const text = fields[name];
	return text === undefined || text.trim() === '' ? current : Number(text);
};

const applyClass = (requestClass: RequestClass, place: string, fields: Fields): RequestClass => ({
	...requestClass,
	importance: (fields[`${place}.importance`] ?? requestClass.importance) as RequestClass['importance'],
	deadlineMilliseconds: numberField(fields, `${place}.deadlineMilliseconds`, requestClass.deadlineMilliseconds) ?? requestClass.deadlineMilliseconds,
});

const applyService = (service: ServiceConfiguration, fields: Fields): ServiceConfiguration => {
	const goodputWeight = numberField(fields, `${service.name}.goodputWeight`, service.roles?.goodputWeight);
	const retryShare = numberField(fields, `${service.name}.retryShare`, service.retryShare);
	return {
		...service,
		...retryShare === undefined ? {} : {retryShare},
		...service.roles === undefined || goodputWeight === undefined ? {} : {roles: {...service.roles, goodputWeight}},
		...service.classes === undefined
			? {}
			: {
				classes: service.classes.map(requestClass => applyClass(requestClass, `${service.name}.${requestClass.name}`, fields)),
			},
	};
};

/**
Returns the document with the form's fields in place of the current values; what
the form does not show is kept. The schema judges the values.

@example
```
applyForm(keeper.accepted, {'models.appraiser.version': '2'});
```
*/
export const applyForm = (accepted: option.Option<AcceptedConfiguration>, fields: Fields): Result<string, readonly string[]> => {
	if (option.isNone(accepted)) {
		return err(['no configuration is in force here yet; apply the first one with the command line']);
	}

	if (accepted.value.generation !== Number(fields.basedOn)) {
		const {generation, author} = accepted.value;
		const madeFor = fields.basedOn ?? 'none';
		return err([`the form was made for generation ${madeFor}, but ${generation} from ${author} is in force; look at the new values and submit again`]);
	}

	return parseDocument(accepted.value.document).andThen(document => {
		const changed: Configuration = {
			...document,
			...document.models === undefined ? {} : {models: document.models.map(model => ({...model, version: fields[`models.${model.name}.version`] ?? model.version}))},
			services: document.services.map(service => applyService(service, fields)) as Configuration['services'],
		};
		const text = stringify(changed);
		return parseDocument(text).andThen(() => ok(text));
	});
};
