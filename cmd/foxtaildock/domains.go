package main

import (
	"context"

	"foxtaildock.example/dock/api"
)

// serviceStateCall is a method of the client that takes a failure domain or a
// backend server out of service, or returns it to service.
type serviceStateCall func(*api.OperatorsClient, context.Context, string, api.ChangeRequest) (*api.ChangeAnswer, error)

// changeServiceState makes one such call for the given failure domain or backend
// server and shows the result.
func changeServiceState(ctx context.Context, s *shared, c *console, o *changeOptions, call serviceStateCall, subject string) (exitCode, error) {
	client, err := s.operators(c)
	if err != nil {
		return 0, err
	}
	request := o.request()
	answer, err := call(client, ctx, subject, request)
	return o.finishChange(ctx, c, client, request.ChangeID, answer, err)
}

// withdrawCommand takes a failure domain out of service.
type withdrawCommand struct {
	Domain string `arg:"positional,required" placeholder:"DOMAIN" help:"the failure domain"`
	changeOptions
}

func (*withdrawCommand) examples() string {
	return `
  After a few seconds no more tasks start there. Running
  tasks finish:
    foxtaildock withdraw lulea --reason 'power works'`
}

func (w *withdrawCommand) run(ctx context.Context, s *shared, c *console) (exitCode, error) {
	return changeServiceState(ctx, s, c, &w.changeOptions, (*api.OperatorsClient).Withdraw, w.Domain)
}

// restoreCommand returns a failure domain to service.
type restoreCommand struct {
	Domain string `arg:"positional,required" placeholder:"DOMAIN" help:"the failure domain"`
	changeOptions
}

func (*restoreCommand) examples() string {
	return `
  Its share of the work returns over a few seconds:
    foxtaildock restore lulea --reason 'power is back'`
}

func (r *restoreCommand) run(ctx context.Context, s *shared, c *console) (exitCode, error) {
	return changeServiceState(ctx, s, c, &r.changeOptions, (*api.OperatorsClient).Restore, r.Domain)
}

// drainCommand takes one backend server out of service.
type drainCommand struct {
	Server string `arg:"positional,required" placeholder:"SERVER" help:"address or incarnation of the agent beside it; see foxtaildock status --all"`
	changeOptions
}

func (*drainCommand) examples() string {
	return `
  By the agent's address, which a restart doesn't change:
    foxtaildock drain 10.0.1.7:7102 --reason 'fails tasks'`
}

func (d *drainCommand) run(ctx context.Context, s *shared, c *console) (exitCode, error) {
	return changeServiceState(ctx, s, c, &d.changeOptions, (*api.OperatorsClient).Drain, d.Server)
}

// undrainCommand returns one backend server to service.
type undrainCommand struct {
	Server string `arg:"positional,required" placeholder:"SERVER" help:"the address or incarnation that was drained"`
	changeOptions
}

func (*undrainCommand) examples() string {
	return `
  foxtaildock undrain 10.0.1.7:7102`
}

func (u *undrainCommand) run(ctx context.Context, s *shared, c *console) (exitCode, error) {
	return changeServiceState(ctx, s, c, &u.changeOptions, (*api.OperatorsClient).Undrain, u.Server)
}
